#include "membership/membership.h"

#include <algorithm>

#include "messages/codec.h"

namespace anvillead {

namespace {

// In every eighth round a dead member is probed, too, so that regions find each other again after a long partition.
constexpr std::uint64_t dead_probe_interval = 8;
// Limits urgent updates to 20 rounds per second; later ones wait for the next tick.
constexpr milliseconds min_urgent_interval{50};
// Encoded size of the array headers and keys around the records of one datagram.
constexpr std::size_t array_overhead = 12;

} // namespace

membership::membership(membership_options options, const member& self, std::uint64_t random_seed)
    : options_(std::move(options)), self_(self), authenticator_(options_.fleet_keys), random_(random_seed),
      table_(options_.member_limit), upstreams_(options_.upstream_limit, options_.return_delay),
      pulls_(options_.pull_period)
{
    self_.version = std::max<std::uint64_t>(self_.version, 1);
    table_.replace(self_, {});
    queue_.push(self_.host, false);
}

membership_actions membership::take_actions()
{
    return std::exchange(actions_, {});
}

membership_actions membership::on_tick(instant now)
{
    detect_pause(now);
    expire_probes(now);
    expire_suspicions(now);
    if (now >= next_probe_) {
        next_probe_ = now + options_.probe_period;
        probe_next(now);
    }
    if (urgent_) {
        send_urgent_updates(now);
    }
    const auto address = pulls_.next_address(now, table_, self_.host, random_);
    if (!address.empty()) {
        actions_.emplace_back(pull_state{address, true});
    }
    table_.remove_dead_before(now - options_.dead_retention);
    return take_actions();
}

void membership::detect_pause(instant now)
{
    const bool paused = last_tick_ != instant{} && now - last_tick_ > options_.pause_limit;
    if (last_tick_ == instant{}) {
        last_digest_match_ = now;
    }
    last_tick_ = now;
    if (paused) {
        // Missing answers during the pause say nothing about the peers, and queued updates may be out of date.
        probes_.clear();
        queue_.clear();
        table_.restart_suspicion_timers(now);
        if (live_count() > 1) {
            pulls_.mark_stale(now);
        }
        publish_self(now, false);
    }
}

void membership::expire_probes(instant now)
{
    const auto expired = probes_.expire(now, options_.indirect_timeout);
    for (const auto& [number, target] : expired.unanswered) {
        for (const auto& it : pick_peers(options_.indirect_probes, target)) {
            send(it.addresses.agent_udp, probe_request{number, self_.host, target, {}}, {});
        }
    }
    for (const auto& it : expired.suspected) {
        suspect(now, it);
    }
}

void membership::expire_suspicions(instant now)
{
    std::vector<member> lost;
    for (const auto& [host, it] : table_.entries()) {
        if (it.record.state == member_state::suspect && now - it.state_changed_at >= options_.suspicion) {
            lost.push_back(it.record);
        }
    }
    for (auto& it : lost) {
        it.state = member_state::dead;
        apply_member(now, it);
    }
}

void membership::suspect(instant now, const host_id& host)
{
    const auto* found = table_.find(host);
    if (found == nullptr || found->state != member_state::alive) {
        return;
    }
    auto record = *found;
    record.state = member_state::suspect;
    apply_member(now, record);
}

void membership::probe_next(instant now)
{
    const bool probe_dead = ++probe_rounds_ % dead_probe_interval == 0;
    if (probe_dead) {
        std::vector<const member*> dead;
        for (const auto& [host, it] : table_.entries()) {
            if (it.record.state == member_state::dead) {
                dead.push_back(&it.record);
            }
        }
        if (!dead.empty()) {
            send_probe(*dead[random_() % dead.size()], probes_.next_number());
        }
    }
    while (!probe_order_.empty()) {
        const auto* target = table_.find(probe_order_.back());
        probe_order_.pop_back();
        if (target != nullptr && target->state != member_state::dead) {
            const auto number = probes_.next_number();
            probes_.start(number, target->host, now + options_.ack_timeout);
            send_probe(*target, number);
            return;
        }
    }
    for (const auto& [host, it] : table_.entries()) {
        if (host != self_.host && it.record.state != member_state::dead) {
            probe_order_.push_back(host);
        }
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
}

membership_actions membership::on_state(instant now, const std::vector<member>& members,
                                        const std::vector<upstream_leave_status>& upstreams)
{
    const bool joined_before = pulls_.has_joined();
    for (const auto& it : members) {
        apply_member(now, it, joined_before);
    }
    for (const auto& it : upstreams) {
        apply_upstream_status(now, it);
    }
    last_digest_match_ = now;
    if (pulls_.on_state_received(live_count() > 1)) {
        send_urgent_updates(now);
    }
    return take_actions();
}

membership_actions membership::on_datagram(instant now, const std::string& from_address, std::string_view datagram)
{
    const auto payload = authenticator_.verify(datagram);
    if (!payload) {
        return {};
    }
    detect_pause(now);
    const auto decoded = decode(*payload);
    if (!decoded) {
        return {};
    }
    const auto& body = decoded.value().body;
    const auto generation = decoded.value().generation;
    if (const auto* value = std::get_if<probe>(&body)) {
        handle(now, from_address, generation, *value);
    } else if (const auto* ack = std::get_if<probe_ack>(&body)) {
        handle(now, from_address, generation, *ack);
    } else if (const auto* request = std::get_if<probe_request>(&body)) {
        handle(now, from_address, generation, *request);
    }
    if (urgent_ && now - last_urgent_ >= min_urgent_interval) {
        send_urgent_updates(now);
    }
    return take_actions();
}

void membership::handle(instant now, const std::string& from, config_generation generation, const probe& value)
{
    // A host that reuses the address of another one must not acknowledge probes of the other one.
    if (value.target != self_.host) {
        return;
    }
    apply_updates(now, value.updates);
    check_sender(now, value.from, generation, value.updates.digest);
    std::vector<gossip_queue::key> first;
    if (value.updates.digest != digest()) {
        first = recent_leaving(now);
    }
    const auto* known = table_.find(value.from);
    const bool sender_is_behind =
        known != nullptr &&
        std::any_of(value.updates.members.begin(), value.updates.members.end(), [&](const member& it) {
            return it.host == value.from && (it.number != known->number || it.version < known->version ||
                                             known->state != it.state || known->leaving != it.leaving);
        });
    if (sender_is_behind) {
        first.insert(first.begin(), value.from);
    }
    send(from, probe_ack{value.number, self_.host, {}}, first);
}

void membership::handle(instant now, const std::string& from, config_generation generation, const probe_ack& value)
{
    apply_updates(now, value.updates);
    const auto* sender = table_.find(value.from);
    if (sender != nullptr && sender->addresses.agent_udp == from) {
        check_sender(now, value.from, generation, value.updates.digest);
    }
    const auto relayed = probes_.acknowledge(value.number, value.from);
    if (relayed) {
        send(relayed->origin, probe_ack{relayed->origin_number, value.from, {}}, {});
    }
}

void membership::handle(instant now, const std::string& from, config_generation generation, const probe_request& value)
{
    apply_updates(now, value.updates);
    check_sender(now, value.from, generation, value.updates.digest);
    const auto* target = table_.find(value.target);
    const auto number = probes_.next_number();
    if (target != nullptr && probes_.start_relay(number, {from, value.number, now + options_.indirect_timeout})) {
        send_probe(*target, number);
    }
}

void membership::check_sender(instant now, const host_id& host, config_generation generation, std::uint64_t peer_digest)
{
    table_.update_generation(host, generation);
    const auto* sender = table_.find(host);
    if (sender == nullptr || sender->addresses.agent_link.empty()) {
        return;
    }
    if (generation > generation_) {
        actions_.emplace_back(pull_state{sender->addresses.agent_link, false});
    }
    if (peer_digest == digest()) {
        last_digest_match_ = now;
    } else if (now - last_digest_match_ > options_.repair_after) {
        pulls_.request_repair(sender->addresses.agent_link);
        last_digest_match_ = now;
    }
}

void membership::send_urgent_updates(instant now)
{
    urgent_ = false;
    last_urgent_ = now;
    for (const auto& it : pick_peers(options_.urgent_fanout, self_.host)) {
        send_probe(it, probes_.next_number());
    }
}

void membership::send_probe(const member& target, std::uint64_t number)
{
    std::vector<gossip_queue::key> first = {self_.host};
    if (target.state != member_state::alive) {
        first.push_back(target.host);
    }
    send(target.addresses.agent_udp, probe{number, self_.host, target.host, {}}, first);
}

void membership::add_updates(gossip& updates, std::size_t used, const std::vector<gossip_queue::key>& first)
{
    const auto fits = [&](std::size_t size) {
        if (used + size > options_.datagram_bytes) {
            return false;
        }
        used += size;
        return true;
    };
    const auto add_member = [&](const host_id& host) {
        const auto* found = table_.find(host);
        if (found == nullptr) {
            return true;
        }
        if (!fits(encoded_size(*found))) {
            return false;
        }
        updates.members.push_back(*found);
        return true;
    };
    const auto add = [&](const gossip_queue::key& it) {
        if (const auto* host = std::get_if<host_id>(&it)) {
            return add_member(*host);
        }
        const auto* status = upstreams_.find(std::get<upstream_leave_table::key>(it));
        if (status == nullptr || !fits(encoded_size(*status))) {
            return status == nullptr;
        }
        updates.upstreams.push_back(*status);
        return true;
    };
    std::for_each(first.begin(), first.end(), add);
    queue_.offer(retransmit_limit(), [&](const gossip_queue::key& it) {
        return std::find(first.begin(), first.end(), it) != first.end() || add(it);
    });
}

template <typename Message>
void membership::send(const std::string& address, Message value, const std::vector<gossip_queue::key>& first)
{
    if (address.empty()) {
        return;
    }
    value.updates.digest = digest();
    const auto used = encode({generation_, value}).size() + datagram_authenticator::tag_bytes + 2 * array_overhead;
    add_updates(value.updates, used, first);
    const envelope out{generation_, std::move(value)};
    actions_.emplace_back(send_datagram{address, authenticator_.sign(encode(out)), message_type(out.body)});
}

std::vector<member> membership::pick_peers(std::size_t count, const host_id& except)
{
    std::vector<const member*> candidates;
    for (const auto& [host, it] : table_.entries()) {
        if (host != self_.host && host != except && it.record.state != member_state::dead) {
            candidates.push_back(&it.record);
        }
    }
    std::vector<const member*> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), count, random_);
    std::vector<member> out;
    out.reserve(picked.size());
    for (const auto* it : picked) {
        out.push_back(*it);
    }
    return out;
}

} // namespace anvillead
