#include "fleet/tests/simulated_fleet.h"

#include <algorithm>

#include "fleet/report_codec.h"

namespace anvillead {

namespace {

// One of this many periodic reports lists the addresses of the other hosts.
constexpr std::uint64_t reports_per_contact_list = 5;
// Changes of the evidence are sent together at such multiples of a millisecond.
constexpr std::int64_t evidence_gather_ms = 10;

} // namespace

simulated_host::simulated_host(int number, const simulated_fleet_options& options)
    : id("host-" + std::to_string(number)), zone("zone-" + std::to_string(number % options.zones)),
      address("10.0." + std::to_string(number / 250) + '.' + std::to_string(number % 250) + ":7200"),
      link_mbps(number < options.fast_hosts ? 200 : 10)
{}

simulated_fleet::simulated_fleet(simulated_fleet_options options) : options_(options), random_(options.seed)
{
    std::uniform_int_distribution<std::int64_t> offset(0, options_.start_interval.count());
    for (int i = 0; i < options_.hosts; ++i) {
        hosts_.push_back(std::make_unique<simulated_host>(i, options_));
        by_address_[hosts_.back()->address] = hosts_.back().get();
    }
    for (auto& it : hosts_) {
        start(*it);
        it->starts_at = now_ + milliseconds(offset(random_));
        it->running = it->starts_at == now_;
    }
}

void simulated_fleet::start(simulated_host& host)
{
    host.peers = std::make_unique<peer_table>(host.id, host.address);
    host.exchange = std::make_unique<report_exchange>(*host.peers, host.id, host.zone);
    host.quarantine = std::make_unique<request_quarantine>();
    host.evidence = std::make_unique<fleet_broadcast>(evidence_state(*host.quarantine), *host.exchange);
    host.loads = load_table();
    host.exchange->set_hooks({[&host] { return host.loads.totals(); },
                              {},
                              [this, &host](const fleet_summary& it) { host.loads.set_fleet_work(now_, it.work); },
                              {}});
    host.peers->set_hooks({{},
                           [this, &host](const host_report& it) {
                               if (!host.exchange->receives_sums()) {
                                   host.loads.set_peer_work(now_, it.host, it.work);
                               }
                           },
                           [this, &host](const host_id& it) {
                               host.loads.remove_peer(it);
                               const auto& lost = find(it);
                               const bool same_process = host.peers->find(it)->incarnation == lost.incarnation;
                               false_losses += lost.running && same_process && connected(host, lost) ? 1 : 0;
                           }});
    for (int i = 0; i < options_.seeds; ++i) {
        host.peers->add_contact(now_, hosts_[static_cast<std::size_t>(options_.hosts - 1 - i)]->address);
    }
    host.forward_scheduled = false;
    host.starts_at = now_;
    host.running = true;
}

void simulated_fleet::kill(simulated_host& host)
{
    host.running = false;
    host.starts_at = {};
    host.incarnation += '+';
    host.sequence = 0;
}

void simulated_fleet::run(milliseconds time)
{
    for (const auto end = now_ + time; now_ < end; now_ += milliseconds(1)) {
        deliver();
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            step(*hosts_[i], i);
        }
    }
}

void simulated_fleet::step(simulated_host& host, std::size_t number)
{
    if (!host.running && host.starts_at != instant{} && now_ == host.starts_at) {
        host.running = true;
    }
    if (!host.running) {
        return;
    }
    const auto millisecond = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    if ((millisecond + static_cast<std::int64_t>(number)) % peer_limits().period.count() == 0) {
        send(host, host.exchange->run_period(now_));
        host.loads.expire(now_);
        report(host, true);
        send(host, host.evidence->run_period(now_));
    }
    if (host.evidence->has_changes() && millisecond % evidence_gather_ms == 0) {
        send(host, host.evidence->take_changes(now_));
    }
    if (host.forward_scheduled && now_ >= host.forward_at) {
        host.forward_scheduled = false;
        send(host, host.exchange->forward_pending(now_));
    }
}

void simulated_fleet::report(simulated_host& host, bool periodic)
{
    host_report out;
    out.host = host.id;
    out.incarnation = host.incarnation;
    out.sequence = ++host.sequence;
    out.availability_zone = host.zone;
    out.addresses.report = host.address;
    out.link_mbps = host.link_mbps;
    out.ready = host.ready;
    out.leaving = host.leaving;
    out.without_path = host.without_path;
    out.evacuation_revision = host.evacuation_revision;
    out.work = host.loads.own();
    if (periodic && !host.exchange->uses_relays() && host.sequence % reports_per_contact_list == 1) {
        out.contacts = host.peers->live_addresses();
    }
    send(host, host.exchange->distribute_own_report(now_, out, periodic));
}

void simulated_fleet::send(simulated_host& from, const std::vector<report_exchange::outgoing>& messages)
{
    for (const auto& message : messages) {
        for (const auto& text : encode(message)) {
            const auto value = std::make_shared<const content>(
                content{decode_datagram(text), message.summary ? decode_summary(text) : std::nullopt, {}, text.size()});
            for (const auto& to : message.addresses) {
                transmit(from, to, value);
            }
        }
    }
    schedule_forwarding(from);
}

void simulated_fleet::send(simulated_host& from, const fleet_broadcast::outgoing& message)
{
    for (const auto& text : message.datagrams) {
        const auto value = std::make_shared<const content>(content{std::nullopt, std::nullopt, text, text.size()});
        for (const auto& to : message.addresses) {
            transmit(from, to, value);
        }
    }
}

void simulated_fleet::transmit(simulated_host& from, const std::string& to, const std::shared_ptr<const content>& value)
{
    std::uniform_int_distribution<std::int64_t> extra(0, options_.jitter.count());
    std::uniform_real_distribution<double> chance(0, 1);
    auto& target = *by_address_.at(to);
    const bool crosses = target.zone != from.zone;
    bytes_between_zones += crosses ? value->bytes : 0;
    from.bytes_sent += value->bytes;
    if (connected(from, target) && chance(random_) >= loss) {
        const auto delay = crosses ? options_.cross_zone_delay : options_.in_zone_delay;
        packets_.emplace(now_ + delay + milliseconds(extra(random_)), packet{&target, value});
    }
}

void simulated_fleet::schedule_forwarding(simulated_host& host)
{
    if (host.exchange->has_pending() && !host.forward_scheduled) {
        host.forward_scheduled = true;
        host.forward_at = now_ + relay_limits().gather;
    }
}

void simulated_fleet::deliver()
{
    while (!packets_.empty() && packets_.begin()->first <= now_) {
        const auto node = packets_.extract(packets_.begin());
        auto& host = *node.mapped().to;
        const auto& value = *node.mapped().value;
        if (!host.running) {
            continue;
        }
        host.bytes_received += value.bytes;
        ++host.datagrams_received;
        if (!value.evidence.empty()) {
            host.evidence->receive(now_, value.evidence);
        } else if (value.summary) {
            host.exchange->receive_summary(now_, *value.summary);
        } else {
            host.exchange->receive(now_, *value.datagram);
        }
        schedule_forwarding(host);
    }
}

bool simulated_fleet::connected(const simulated_host& a, const simulated_host& b) const
{
    return a.partition == b.partition;
}

void simulated_fleet::set_work(simulated_host& host, const upstream_id& engine, const upstream_work& work)
{
    const auto found = host.loads.own().find(engine);
    if (found != host.loads.own().end()) {
        host.loads.subtract(engine, upstream_work(found->second));
    }
    host.loads.add(engine, work);
    if (host.running) {
        report(host, false);
    }
}

void simulated_fleet::crash_engine(simulated_host& host, const upstream_id& engine, const request_traits& parts)
{
    host.quarantine->add_crash(now_, {engine, now_, {{true, parts}}});
}

void simulated_fleet::answer(simulated_host& host, const request_traits& parts)
{
    host.quarantine->add_sound_traits(now_, now_, parts);
}

int simulated_fleet::hosts_that_send(const request_traits& parts) const
{
    const auto running = running_hosts();
    return static_cast<int>(std::count_if(running.begin(), running.end(),
                                          [&](const auto* it) { return it->quarantine->find(parts) == nullptr; }));
}

void simulated_fleet::set_without_path(simulated_host& host, bool value)
{
    host.without_path = value;
    if (host.running) {
        report(host, false);
    }
}

void simulated_fleet::set_evacuation_revision(simulated_host& host, store_revision value)
{
    host.evacuation_revision = value;
    if (host.running) {
        report(host, false);
    }
}

void simulated_fleet::fetch_evacuations(bool relays_only)
{
    for (const auto& host : hosts_) {
        if (!host->running || (relays_only && !host->exchange->is_relay())) {
            continue;
        }
        auto newest = host->evacuation_revision;
        for (const auto* it : host->peers->live()) {
            newest = std::max(newest, it->evacuation_revision);
        }
        if (newest > host->evacuation_revision) {
            set_evacuation_revision(*host, newest);
        }
    }
}

int simulated_fleet::hosts_with_older_evacuations(store_revision value) const
{
    const auto running = running_hosts();
    return static_cast<int>(
        std::count_if(running.begin(), running.end(), [&](const auto* it) { return it->evacuation_revision < value; }));
}

int simulated_fleet::hosts_wrong_about_paths() const
{
    const auto running = running_hosts();
    return static_cast<int>(std::count_if(running.begin(), running.end(), [&](const simulated_host* host) {
        return std::any_of(running.begin(), running.end(), [&](const simulated_host* other) {
            const auto* known = host->peers->find(other->id);
            return host != other && (known == nullptr || known->without_path != other->without_path);
        });
    }));
}

simulated_host& simulated_fleet::find(const host_id& id)
{
    return **std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& it) { return it->id == id; });
}

std::vector<const simulated_host*> simulated_fleet::running_hosts() const
{
    std::vector<const simulated_host*> out;
    for (const auto& it : hosts_) {
        if (it->running) {
            out.push_back(it.get());
        }
    }
    return out;
}

std::vector<const simulated_host*> simulated_fleet::relays() const
{
    std::vector<const simulated_host*> out;
    for (const auto* it : running_hosts()) {
        const auto relays = it->exchange->relays_in(it->zone);
        if (std::find(relays.begin(), relays.end(), it->id) != relays.end()) {
            out.push_back(it);
        }
    }
    return out;
}

upstream_work simulated_fleet::true_work(const upstream_id& engine) const
{
    upstream_work out;
    for (const auto* it : running_hosts()) {
        const auto found = it->loads.own().find(engine);
        if (found != it->loads.own().end()) {
            out += found->second;
        }
    }
    return out;
}

int simulated_fleet::hosts_that_know(const upstream_id& engine) const
{
    const auto truth = true_work(engine);
    const auto hosts = running_hosts();
    return static_cast<int>(
        std::count_if(hosts.begin(), hosts.end(), [&](const auto* it) { return it->loads.total(engine) == truth; }));
}

int simulated_fleet::hosts_that_hear(const simulated_host& of) const
{
    const auto hosts = running_hosts();
    return static_cast<int>(std::count_if(hosts.begin(), hosts.end(),
                                          [&](const auto* it) { return it != &of && it->peers->is_live(of.id); }));
}

std::size_t simulated_fleet::min_live_count() const
{
    std::size_t out = hosts_.size();
    for (const auto* it : running_hosts()) {
        out = std::min(out, it->peers->live_count());
    }
    return out;
}

int simulated_fleet::hosts_with_wrong_members() const
{
    std::set<host_id> truth;
    const auto hosts = running_hosts();
    for (const auto* it : hosts) {
        truth.insert(it->id);
    }
    return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [&](const auto* it) {
        std::set<host_id> known = {it->id};
        for (const auto* peer : it->peers->live()) {
            known.insert(peer->host);
        }
        return known != truth;
    }));
}

void simulated_fleet::reset_counters()
{
    bytes_between_zones = 0;
    for (auto& it : hosts_) {
        it->bytes_sent = 0;
        it->bytes_received = 0;
        it->datagrams_received = 0;
    }
}

} // namespace anvillead
