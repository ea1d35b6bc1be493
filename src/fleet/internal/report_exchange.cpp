#include "fleet/report_exchange.h"

#include <algorithm>
#include <set>

#include "dispatch/responsibility.h"

namespace anvillead {

namespace {

constexpr const char* relay_key = "report-relay";

bool contains(const std::vector<host_id>& hosts, const host_id& host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

/// Upstreams whose work differs between the reports, with the amounts in `next`; zero if the work has ended.
std::map<upstream_id, upstream_work> changed_work(const host_report& last, const host_report& next)
{
    std::map<upstream_id, upstream_work> out;
    for (const auto& [id, work] : next.work) {
        const auto known = last.work.find(id);
        if (!work.empty() && (known == last.work.end() || known->second != work)) {
            out.emplace(id, work);
        }
    }
    for (const auto& [id, work] : last.work) {
        const auto present = next.work.find(id);
        if (!work.empty() && (present == next.work.end() || present->second.empty())) {
            out.emplace(id, upstream_work{});
        }
    }
    return out;
}

} // namespace

report_exchange::report_exchange(peer_table& peers, host_id self, zone_name zone, relay_limits limits)
    : peers_(peers), self_(std::move(self)), zone_(std::move(zone)), limits_(limits)
{}

bool report_exchange::uses_relays() const
{
    return peers_.live_count() + 1 > limits_.max_direct_hosts;
}

const host_report* report_exchange::report_of(const host_id& host) const
{
    return host == self_ ? &own_report_ : peers_.find(host);
}

std::vector<host_id> report_exchange::relays_in(const zone_name& zone) const
{
    std::vector<task_candidate> candidates;
    const auto add_candidate = [&](const host_report& it) {
        if (it.availability_zone == zone) {
            candidates.push_back({it.host, it.link_mbps, it.leaving});
        }
    };
    add_candidate(own_report_);
    for (const auto* it : peers_.live()) {
        add_candidate(*it);
    }
    auto hosts = preferred_hosts(candidates);
    std::vector<host_id> out;
    while (!hosts.empty() && out.size() < limits_.relays) {
        const auto next = responsible_host(hosts, relay_key);
        hosts.erase(std::find(hosts.begin(), hosts.end(), next));
        out.push_back(next);
    }
    return out;
}

std::string report_exchange::relay_address(const zone_name& zone, const std::string& key) const
{
    const auto relays = relays_in(zone);
    if (relays.empty()) {
        return {};
    }
    const auto* report = contains(relays, self_) ? &own_report_ : report_of(responsible_host(relays, key));
    return report->addresses.report;
}

fleet_datagram report_exchange::compose(bool direct, std::vector<report_entry> entries) const
{
    return {self_, zone_, direct, std::move(entries)};
}

std::vector<report_exchange::outgoing> report_exchange::distribute_own_report(instant now, host_report report,
                                                                              bool periodic)
{
    own_report_ = std::move(report);
    outgoing out;
    const auto relay = uses_relays() ? relay_address(zone_, self_.str()) : std::string();
    if (!uses_relays()) {
        out.addresses = peers_.live_addresses();
        direct_until_ = now + limits_.transition_time;
    } else if (relay == own_report_.addresses.report) {
        on_direct_report(now, own_report_);
    } else {
        reporters_.erase(self_);
        out.addresses.push_back(relay);
    }
    if (periodic) {
        for (auto& it : peers_.due_contacts(now)) {
            out.addresses.push_back(std::move(it));
        }
    }
    if (!uses_relays()) {
        direct_targets_.insert(out.addresses.begin(), out.addresses.end());
    } else if (now < direct_until_) {
        // The previous targets may not have received a report of this host through a relay yet.
        out.addresses.insert(out.addresses.end(), direct_targets_.begin(), direct_targets_.end());
    } else {
        direct_targets_.clear();
    }
    if (out.addresses.empty()) {
        return {};
    }
    out.content = compose(true, {{own_report_, false, false}});
    return {std::move(out)};
}

std::vector<report_exchange::outgoing> report_exchange::receive(instant now, const fleet_datagram& datagram)
{
    std::vector<outgoing> out;
    if (!datagram.direct) {
        peers_.on_relay_datagram(now, datagram.sender);
    }
    for (const auto& it : datagram.entries) {
        const bool is_new = peers_.on_report(now, it, datagram.direct);
        if (!datagram.direct) {
            if ((is_new || it.lost) && datagram.sender_zone != zone_ && uses_relays()) {
                from_other_zones_.push_back(it);
            }
            continue;
        }
        if (!is_new || !uses_relays()) {
            continue;
        }
        if (auto value = make_introduction(now, it.report)) {
            out.push_back(std::move(*value));
        }
        // A host of another zone that reports here for an introduction also reports to its own relay.
        if (it.report.availability_zone == zone_) {
            on_direct_report(now, it.report);
        }
    }
    return out;
}

void report_exchange::on_direct_report(instant now, const host_report& report)
{
    auto& last = reporters_[report.host];
    const bool full = !last.forwarded || last.report.incarnation != report.incarnation ||
                      now - last.last_full > limits_.refresh_interval;
    if (full || needs_forwarding(last, report)) {
        auto& value = pending_[report.host];
        value.full = value.full || full;
        value.lost = false;
    }
    zone_configuration_ = std::max(zone_configuration_, report.configuration);
    zone_directory_revision_ = std::max(zone_directory_revision_, report.directory_revision);
}

bool report_exchange::needs_forwarding(const forwarded_report& last, const host_report& report) const
{
    // If the zone already knows of a version, it need not be told that one more host has it; the next full report
    // contains it.
    return report.configuration > zone_configuration_ || report.directory_revision > zone_directory_revision_ ||
           report.ready != last.report.ready || report.leaving != last.report.leaving ||
           report.platform_reachable != last.report.platform_reachable ||
           report.leaving_upstreams != last.report.leaving_upstreams || !changed_work(last.report, report).empty();
}

report_entry report_exchange::make_entry(instant now, const host_id& host, const pending_entry& value)
{
    report_entry out;
    const auto* report = report_of(host);
    auto& last = reporters_[host];
    out.report = *report;
    out.lost = value.lost;
    if (value.lost) {
        out.incremental = true;
        out.report.work.clear();
        reporters_.erase(host);
        return out;
    }
    if (value.full) {
        last.last_full = now;
        // Contacts are omitted: hosts know the others from their own reports, and a new host learns the addresses from
        // the report of a relay.
        if (host != self_) {
            out.report.contacts.clear();
        }
    } else {
        out.incremental = true;
        out.report.work = changed_work(last.report, *report);
    }
    last.report = *report;
    last.forwarded = true;
    return out;
}

std::vector<report_exchange::outgoing> report_exchange::forward_pending(instant now)
{
    std::vector<report_entry> entries;
    for (const auto& [host, value] : std::exchange(pending_, {})) {
        entries.push_back(make_entry(now, host, value));
    }
    last_sent_ = now;
    std::vector<outgoing> out;
    if (!entries.empty()) {
        out.push_back({other_relay_addresses(), compose(false, entries)});
    }
    for (auto& it : std::exchange(from_other_zones_, {})) {
        entries.push_back(std::move(it));
    }
    if (!entries.empty()) {
        out.push_back({zone_addresses(), compose(false, std::move(entries))});
    }
    return out;
}

void report_exchange::look(instant now)
{
    const auto relays = relays_in(zone_);
    const auto reports_to_self = [&](const host_report& it) {
        return contains(relays, self_) && it.availability_zone == zone_ &&
               (contains(relays, it.host) || responsible_host(relays, it.host.str()) == self_);
    };
    peers_.expire(
        now, [&](const host_report& it) { return !uses_relays() || contains(relays, it.host) || reports_to_self(it); });
    if (!uses_relays()) {
        reporters_.clear();
        pending_.clear();
        from_other_zones_.clear();
        return;
    }
    for (const auto& [host, value] : reporters_) {
        if (host != self_ && !peers_.is_live(host) && reports_to_self(value.report)) {
            pending_[host].lost = true;
        }
    }
    // The direct timeout applies to relays, so a relay must send as often as a host that reports directly.
    const bool relay = reporters_.count(self_) != 0;
    if (relay && now - last_sent_ >= limits_.keepalive_interval) {
        pending_.emplace(self_, pending_entry{});
    }
}

std::optional<report_exchange::outgoing> report_exchange::make_introduction(instant now, const host_report& newcomer)
{
    const auto last = reporters_.find(newcomer.host);
    const bool known = newcomer.availability_zone == zone_ && last != reporters_.end() &&
                       last->second.report.incarnation == newcomer.incarnation;
    auto& introduced = last_introductions_[newcomer.host];
    if (known || (introduced != instant{} && now - introduced < limits_.introduction_interval)) {
        return std::nullopt;
    }
    introduced = now;
    const auto live = peers_.live();
    std::map<zone_name, std::vector<host_id>> relays;
    for (const auto* it : live) {
        if (relays.count(it->availability_zone) == 0) {
            relays[it->availability_zone] = relays_in(it->availability_zone);
        }
    }
    // The hosts of its own zone and the relays of the other zones, which forward the reports of the rest.
    std::vector<report_entry> entries = {{own_report_, false, false}};
    for (const auto* it : live) {
        const bool is_relay = contains(relays[it->availability_zone], it->host);
        if (it->host != newcomer.host && (it->availability_zone == newcomer.availability_zone || is_relay)) {
            entries.push_back({*it, false, false});
            entries.back().report.contacts.clear();
        }
    }
    return outgoing{{newcomer.addresses.report}, compose(false, std::move(entries))};
}

std::vector<std::string> report_exchange::zone_addresses() const
{
    std::vector<std::string> out;
    for (const auto* it : peers_.live()) {
        if (it->availability_zone == zone_) {
            out.push_back(it->addresses.report);
        }
    }
    return out;
}

std::vector<std::string> report_exchange::other_relay_addresses() const
{
    std::set<zone_name> zones;
    for (const auto* it : peers_.live()) {
        if (it->availability_zone != zone_) {
            zones.insert(it->availability_zone);
        }
    }
    std::vector<std::string> out;
    for (const auto& it : zones) {
        const auto address = relay_address(it, self_.str());
        if (!address.empty()) {
            out.push_back(address);
        }
    }
    return out;
}

} // namespace anvillead
