#include "membership/membership.h"

#include <algorithm>
#include <cmath>

#include "messages/codec.h"

namespace anvillead {

namespace {

// Every eighth probe goes to a dead member, so that regions find each other again after a long partition.
constexpr std::uint64_t dead_probe_interval = 8;
// An update is sent this many times the logarithm of the table size by each member.
constexpr double spread_factor = 3;
// At most 20 urgent rounds a second; later news waits for the next tick.
constexpr milliseconds urgent_spacing{50};
// Array headers and keys around the records of one datagram.
constexpr std::size_t array_overhead = 12;

/// A gateway or scheduler started, restarted or ended on a host that stays; its cells and callers have to move.
bool roles_differ(const member& a, const member& b)
{
    return a.addresses.gateway_http != b.addresses.gateway_http ||
           a.addresses.scheduler_link != b.addresses.scheduler_link || a.gateway_leaving != b.gateway_leaving ||
           a.scheduler_leaving != b.scheduler_leaving;
}

/// Others must stop giving this member new work.
bool is_urgent(const member& value)
{
    return value.leaving || value.gateway_leaving || value.scheduler_leaving;
}

} // namespace

membership::membership(membership_options options, const member& self, std::uint64_t random_seed)
    : options_(std::move(options)), self_(self), seal_(options_.fleet_keys), random_(random_seed),
      table_(options_.member_limit), upstreams_(options_.upstream_limit, options_.return_hold),
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
    notice_pause(now);
    expire_probes(now);
    expire_suspicions(now);
    if (now >= next_probe_) {
        next_probe_ = now + options_.probe_period;
        probe_next(now);
    }
    if (urgent_) {
        spread_urgent(now);
    }
    const auto address = pulls_.next(now, table_, self_.host, random_);
    if (!address.empty()) {
        actions_.emplace_back(pull_state{address, true});
    }
    table_.drop_dead_before(now - options_.dead_retention);
    return take_actions();
}

void membership::notice_pause(instant now)
{
    const bool paused = last_tick_ != instant{} && now - last_tick_ > options_.pause_limit;
    if (last_tick_ == instant{}) {
        last_match_ = now;
    }
    last_tick_ = now;
    if (paused) {
        // Silence during the pause says nothing about the peers, and queued news may be out of date.
        probes_.clear();
        queue_.clear();
        table_.restart_suspicions(now);
        if (live_count() > 1) {
            pulls_.mark_stale(now);
        }
        self_changed(now, false);
    }
}

void membership::expire_probes(instant now)
{
    const auto expired = probes_.expire(now, options_.indirect_timeout);
    for (const auto& [number, target] : expired.silent) {
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
        if (it.record.state == member_state::suspect && now - it.changed >= options_.suspicion) {
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
    const bool want_dead = ++probe_rounds_ % dead_probe_interval == 0;
    if (want_dead) {
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
                                        const std::vector<upstream_mark>& upstreams)
{
    const bool known = pulls_.has_joined();
    for (const auto& it : members) {
        apply_member(now, it, known);
    }
    for (const auto& it : upstreams) {
        apply_mark(now, it);
    }
    last_match_ = now;
    if (pulls_.arrived(live_count() > 1)) {
        spread_urgent(now);
    }
    return take_actions();
}

membership_actions membership::on_datagram(instant now, const std::string& from_address, std::string_view datagram)
{
    const auto payload = seal_.open(datagram);
    if (!payload) {
        return {};
    }
    notice_pause(now);
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
    if (urgent_ && now - last_urgent_ >= urgent_spacing) {
        spread_urgent(now);
    }
    return take_actions();
}

void membership::handle(instant now, const std::string& from, config_generation generation, const probe& value)
{
    // An address that was reused by another host must not vouch for the old one.
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
    table_.note_generation(host, generation);
    const auto* sender = table_.find(host);
    if (sender == nullptr || sender->addresses.agent_link.empty()) {
        return;
    }
    if (generation > generation_) {
        actions_.emplace_back(pull_state{sender->addresses.agent_link, false});
    }
    if (peer_digest == digest()) {
        last_match_ = now;
    } else if (now - last_match_ > options_.repair_after) {
        pulls_.ask_repair(sender->addresses.agent_link);
        last_match_ = now;
    }
}

void membership::apply_updates(instant now, const gossip& updates)
{
    for (const auto& it : updates.members) {
        apply_member(now, it);
    }
    for (const auto& it : updates.upstreams) {
        apply_mark(now, it);
    }
}

void membership::apply_member(instant now, const member& value, bool spread)
{
    if (value.host == self_.host) {
        apply_self(now, value);
        return;
    }
    const auto* found = table_.find(value.host);
    const member before = found == nullptr ? member{} : *found;
    if (!table_.merge(value, now)) {
        return;
    }
    const auto& after = *table_.find(value.host);
    if (spread) {
        queue_.push(value.host, is_urgent(after));
    }
    const bool is_new = before.number != after.number;
    if (is_new || effective_state(before) != effective_state(after)) {
        actions_.emplace_back(member_changed{after, effective_state(before), is_new});
    }
    if (after.leaving && !before.leaving) {
        note_leaving(now, value.host);
    }
    urgent_ = urgent_ || (after.leaving && !before.leaving) || (!is_new && roles_differ(before, after));
}

void membership::apply_self(instant now, const member& value)
{
    if (value.number > self_.number) {
        // The clock went back between two starts of this host.
        self_.number = value.number + 1;
        self_changed(now, true);
        return;
    }
    if (value.number < self_.number) {
        return;
    }
    if (value.leaving && !self_.leaving) {
        self_.leaving = true;
        self_changed(now, true);
    }
    const bool accused = value.state == member_state::suspect || value.state == member_state::dead;
    if (value.version > self_.version || (accused && value.version == self_.version)) {
        self_.version = value.version;
        self_changed(now, accused);
    }
}

void membership::apply_mark(instant now, const upstream_mark& value)
{
    const auto* found = upstreams_.find({value.id, value.source});
    const bool was_leaving = found != nullptr && found->leaving;
    if (!upstreams_.merge(value)) {
        return;
    }
    queue_.push(upstream_marks::key{value.id, value.source}, true);
    urgent_ = urgent_ || value.leaving != was_leaving;
    if (value.leaving != was_leaving) {
        note_leaving(now, upstream_marks::key{value.id, value.source});
        actions_.emplace_back(upstream_changed{value});
    }
}

void membership::self_changed(instant now, bool urgent)
{
    ++self_.version;
    table_.replace(self_, now);
    queue_.push(self_.host, is_urgent(self_));
    urgent_ = urgent_ || urgent;
}

membership_actions membership::update_self(instant now, const std::function<void(member&)>& change)
{
    auto next = self_;
    change(next);
    const bool is_news = roles_differ(next, self_) || (next.leaving && !self_.leaving);
    next.leaving = next.leaving || self_.leaving;
    self_ = next;
    self_changed(now, is_news);
    if (urgent_) {
        spread_urgent(now);
    }
    return take_actions();
}

membership_actions membership::leave(instant now)
{
    return update_self(now, [](member& it) { it.leaving = true; });
}

membership_actions membership::set_generation(instant now, config_generation generation)
{
    if (generation <= generation_) {
        return {};
    }
    generation_ = generation;
    self_.generation = generation;
    table_.note_generation(self_.host, generation);
    spread_urgent(now);
    return take_actions();
}

membership_actions membership::report_upstream(instant now, const upstream_marks::key& id, bool leaving)
{
    if (!upstreams_.report(now, id, leaving)) {
        return {};
    }
    queue_.push(id, true);
    note_leaving(now, id);
    actions_.emplace_back(upstream_changed{*upstreams_.find(id)});
    spread_urgent(now);
    return take_actions();
}

void membership::spread_urgent(instant now)
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
        const auto* mark = upstreams_.find(std::get<upstream_marks::key>(it));
        if (mark == nullptr || !fits(encoded_size(*mark))) {
            return mark == nullptr;
        }
        updates.upstreams.push_back(*mark);
        return true;
    };
    std::for_each(first.begin(), first.end(), add);
    queue_.fill(spread_limit(), [&](const gossip_queue::key& it) {
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
    const auto used = encode({generation_, value}).size() + datagram_seal::overhead + 2 * array_overhead;
    add_updates(value.updates, used, first);
    const envelope out{generation_, std::move(value)};
    actions_.emplace_back(send_datagram{address, seal_.seal(encode(out)), message_type(out.body)});
}

std::size_t membership::spread_limit() const
{
    return static_cast<std::size_t>(std::ceil(spread_factor * std::log2(static_cast<double>(live_count()) + 1)));
}

std::size_t membership::live_count() const
{
    return static_cast<std::size_t>(std::count_if(table_.entries().begin(), table_.entries().end(), [](const auto& it) {
        return it.second.record.state != member_state::dead;
    }));
}

} // namespace anvillead
