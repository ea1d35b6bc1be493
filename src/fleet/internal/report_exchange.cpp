#include "fleet/report_exchange.h"

#include <algorithm>

#include "core/crypto.h"
#include "dispatch/responsibility.h"
#include "fleet/report_codec.h"

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

/// Entry that describes a host without its work, for the hosts that receive sums instead.
report_entry list_entry(const host_report& report)
{
    report_entry out;
    out.report = report;
    out.report.contacts.clear();
    out.report.work.clear();
    out.report.leaving_upstreams.clear();
    out.without_work = true;
    return out;
}

/// Hash of the properties that a list entry tells.
std::uint64_t list_entry_hash(const host_report& report)
{
    const auto& addresses = report.addresses;
    return placement_hash(addresses.frontend + '\n' + addresses.control + '\n' + addresses.report + '\n' +
                              report.availability_zone.str(),
                          member_hash(report) + (report.platform_reachable ? 1 : 0));
}

} // namespace

report_exchange::report_exchange(peer_table& peers, host_id self, zone_name zone, relay_limits limits)
    : peers_(peers), self_(std::move(self)), zone_(std::move(zone)), limits_(limits)
{}

bool report_exchange::uses_relays() const
{
    return summarized_ || peers_.live_count() + 1 > limits_.max_direct_hosts;
}

bool report_exchange::is_relay() const
{
    return uses_relays() && !self_.empty() && current_roles().own_relay_host == self_;
}

const host_report* report_exchange::report_of(const host_id& host) const
{
    return host == self_ ? &own_report_ : peers_.find(host);
}

std::vector<host_id> report_exchange::relays_in(const zone_name& zone) const
{
    const auto& relays = current_roles().relays;
    const auto found = relays.find(zone);
    return found == relays.end() ? std::vector<host_id>() : found->second;
}

const report_exchange::roles& report_exchange::current_roles() const
{
    // Both versions only increase, so their sum changes with each of them.
    const auto version = peers_.version() + own_version_;
    if (roles_.version == version) {
        return roles_;
    }
    roles_ = {};
    roles_.version = version;
    std::map<zone_name, std::vector<task_candidate>> candidates;
    const auto add_candidate = [&](const host_report& it) {
        candidates[it.availability_zone].push_back({it.host, it.link_mbps, it.leaving});
    };
    if (!own_report_.host.empty()) {
        add_candidate(own_report_);
    }
    for (const auto* it : peers_.live()) {
        add_candidate(*it);
    }
    for (const auto& [zone, members] : candidates) {
        auto hosts = preferred_hosts(members);
        auto& out = roles_.relays[zone];
        while (!hosts.empty() && out.size() < limits_.relays) {
            const auto next = responsible_host(hosts, relay_key);
            hosts.erase(std::find(hosts.begin(), hosts.end(), next));
            out.push_back(next);
        }
        roles_.all.insert(roles_.all.end(), out.begin(), out.end());
        const auto address_of = [this](const host_id& it) { return report_of(it)->addresses.report; };
        if (zone != zone_) {
            roles_.other_zones.push_back(address_of(responsible_host(out, self_.str())));
            continue;
        }
        roles_.own_relay_host = contains(out, self_) ? self_ : responsible_host(out, self_.str());
        roles_.own_relay = address_of(roles_.own_relay_host);
        for (const auto& it : out) {
            if (it != self_) {
                roles_.fellow_relays.push_back(address_of(it));
            }
        }
    }
    return roles_;
}

fleet_datagram report_exchange::compose(bool direct, bool repeats, std::vector<report_entry> entries) const
{
    return {self_, zone_, direct, std::move(entries), repeats};
}

std::vector<std::string> report_exchange::reporter_addresses(instant now) const
{
    std::vector<std::string> out;
    for (const auto& [host, value] : reporters_) {
        if (host != self_ && now - value.last_received <= limits_.summary_timeout && peers_.is_live(host)) {
            out.push_back(value.report.addresses.report);
        }
    }
    return out;
}

std::set<std::string> report_exchange::regular_targets(instant now) const
{
    std::set<std::string> out;
    if (!uses_relays()) {
        const auto all = peers_.live_addresses();
        out.insert(all.begin(), all.end());
        return out;
    }
    const auto& current = current_roles();
    if (!is_relay()) {
        out.insert(current.own_relay);
    } else {
        out.insert(current.fellow_relays.begin(), current.fellow_relays.end());
        out.insert(current.other_zones.begin(), current.other_zones.end());
    }
    const auto reporters = reporter_addresses(now);
    out.insert(reporters.begin(), reporters.end());
    return out;
}

std::vector<report_exchange::outgoing> report_exchange::distribute_own_report(instant now, host_report report,
                                                                              bool periodic)
{
    const bool same_role = own_report_.host == report.host && own_report_.leaving == report.leaving &&
                           own_report_.link_mbps == report.link_mbps &&
                           own_report_.availability_zone == report.availability_zone;
    own_version_ += same_role ? 0 : 1;
    own_report_ = std::move(report);
    own_report_.requests_member_list = requests_member_list_;
    own_report_.uses_relay = uses_relays();
    touched_.insert(self_);
    const bool large = uses_relays();
    outgoing regular;
    outgoing others;
    if (!large) {
        regular.addresses = peers_.live_addresses();
    } else if (is_relay()) {
        add_reporter(now, own_report_);
    } else {
        reporters_.erase(self_);
        regular.addresses.push_back(current_roles().own_relay);
    }
    if (periodic) {
        // Relays look for lost hosts and for other parts of the fleet on behalf of all.
        if (!large || is_relay() || !summarized_) {
            others.addresses = peers_.due_contacts(now);
        }
        if (large && !probed_relays_.empty() && !is_relay()) {
            const auto& current = current_roles();
            std::copy_if(current.fellow_relays.begin(), current.fellow_relays.end(),
                         std::back_inserter(others.addresses),
                         [&](const std::string& it) { return it != current.own_relay; });
        }
        const auto targets = regular_targets(now);
        for (auto it = targets_.begin(); it != targets_.end();) {
            if (targets.count(it->first) == 0) {
                others.addresses.push_back(it->first);
            }
            it = now >= it->second ? targets_.erase(it) : std::next(it);
        }
        for (const auto& it : targets) {
            targets_[it] = now + limits_.transition_time;
        }
    }
    std::vector<outgoing> out;
    if (!regular.addresses.empty()) {
        regular.content = compose(true, true, {{own_report_, false, false}});
        out.push_back(std::move(regular));
    }
    if (!others.addresses.empty()) {
        others.content = compose(true, false, {{own_report_, false, false}});
        out.push_back(std::move(others));
    }
    return out;
}

void report_exchange::receive(instant now, const fleet_datagram& datagram)
{
    if (!datagram.direct) {
        peers_.on_relay_datagram(now, datagram.sender, datagram.repeats);
        const auto* sender = peers_.find(datagram.sender);
        const bool mistaken = datagram.repeats && datagram.sender_zone != zone_ && uses_relays() && !is_relay();
        if (mistaken && sender != nullptr && !own_report_.host.empty()) {
            // A relay that forwards to this host does not know the relays of this zone.
            queue_introduction(now, *sender, false);
        }
    }
    const bool from_relay = !datagram.direct && summarized_ && datagram.sender == summary_relay_;
    for (const auto& it : datagram.entries) {
        peers_.on_report(now, it, datagram.direct, datagram.repeats, from_relay);
        touched_.insert(it.report.host);
        // Before its first report, this host cannot introduce itself.
        if (!uses_relays() || own_report_.host.empty()) {
            continue;
        }
        if (datagram.direct) {
            process_direct_report(now, it.report, datagram.repeats);
        } else if (datagram.repeats && datagram.sender_zone != zone_ && is_newer_than_passed_on(it)) {
            from_other_zones_.push_back(it);
        }
    }
}

void report_exchange::process_direct_report(instant now, const host_report& report, bool repeats)
{
    const auto* known = peers_.find(report.host);
    const bool current =
        known != nullptr && known->incarnation == report.incarnation && known->sequence == report.sequence;
    if (!current) {
        return;
    }
    const bool reports_here = repeats && report.availability_zone == zone_ && is_relay();
    queue_introduction(now, report, reports_here);
    if (reports_here) {
        add_reporter(now, report);
    } else if (!repeats) {
        // The host reports to another relay from now on.
        reporters_.erase(report.host);
    }
}

bool report_exchange::is_newer_than_passed_on(const report_entry& value)
{
    auto& last = passed_on_[value.report.host];
    const bool same_process = last.incarnation == value.report.incarnation;
    if (!value.lost && same_process && value.report.sequence <= last.sequence) {
        return false;
    }
    last = {value.report.incarnation, value.report.sequence};
    return true;
}

void report_exchange::add_reporter(instant now, const host_report& report)
{
    const bool added = reporters_.count(report.host) == 0;
    auto& last = reporters_[report.host];
    last.last_received = now;
    if (added) {
        // The host has not received the sums that were announced before.
        for (auto& [id, known] : announced_work_) {
            known.at = {};
        }
    }
    const bool full = !last.forwarded || last.report.incarnation != report.incarnation ||
                      now - last.last_full > limits_.refresh_interval;
    if (full || needs_forwarding(last, report)) {
        auto& value = pending_[report.host];
        value.full = value.full || full;
        value.lost = false;
    }
    if (!last.forwarded) {
        last.report = report;
        last.report.work.clear();
    }
    zone_configuration_ = std::max(zone_configuration_, report.configuration);
    zone_directory_revision_ = std::max(zone_directory_revision_, report.directory_revision);
    zone_evacuation_revision_ = std::max(zone_evacuation_revision_, report.evacuation_revision);
}

bool report_exchange::needs_forwarding(const forwarded_report& last, const host_report& report) const
{
    // If the other relays already know of a version, they need not be told that one more host has it; the next full
    // report contains it.
    return report.configuration > zone_configuration_ || report.directory_revision > zone_directory_revision_ ||
           report.evacuation_revision > zone_evacuation_revision_ || report.ready != last.report.ready ||
           report.leaving != last.report.leaving || report.without_path != last.report.without_path ||
           report.platform_reachable != last.report.platform_reachable ||
           report.leaving_upstreams != last.report.leaving_upstreams || !changed_work(last.report, report).empty();
}

report_entry report_exchange::make_entry(instant now, const host_id& host, const pending_entry& value)
{
    report_entry out;
    out.report = *report_of(host);
    out.lost = value.lost;
    out.report.requests_member_list = false;
    if (value.lost) {
        out.incremental = true;
        out.report.work.clear();
        reporters_.erase(host);
        return out;
    }
    auto& last = reporters_[host];
    const auto report = out.report;
    if (value.full) {
        last.last_full = now;
        // Hosts know the others from the list of their relay.
        out.report.contacts.clear();
    } else {
        out.incremental = true;
        out.report.work = changed_work(last.report, report);
    }
    last.report = report;
    last.forwarded = true;
    return out;
}

bool report_exchange::has_pending() const
{
    const bool forwards = !pending_.empty() || !touched_.empty() || summary_requested_;
    const bool introduces = !list_receivers_.empty() || !relay_list_receivers_.empty();
    return introduces || !from_other_zones_.empty() || (forwards && !reporters_.empty());
}

std::vector<report_exchange::outgoing> report_exchange::forward_pending(instant now)
{
    auto out = introductions();
    std::vector<report_entry> entries;
    for (const auto& [host, value] : std::exchange(pending_, {})) {
        if (value.lost ? !peers_.is_live(host) : reporters_.count(host) != 0) {
            entries.push_back(make_entry(now, host, value));
        }
    }
    const auto& current = current_roles();
    if (!entries.empty()) {
        last_sent_ = now;
    }
    if (!entries.empty() && !current.other_zones.empty()) {
        out.push_back({current.other_zones, compose(false, true, entries), std::nullopt});
    }
    for (auto& it : std::exchange(from_other_zones_, {})) {
        entries.push_back(std::move(it));
    }
    if (!entries.empty() && !current.fellow_relays.empty()) {
        out.push_back({current.fellow_relays, compose(false, true, std::move(entries)), std::nullopt});
    }
    auto changes = list_changes();
    auto reporters = reporter_addresses(now);
    if (!changes.empty() && !reporters.empty()) {
        out.push_back({reporters, compose(false, true, std::move(changes)), std::nullopt});
    }
    if (std::exchange(summary_requested_, false) && !reporters.empty()) {
        out.push_back(make_summary(now));
    }
    return out;
}

std::vector<report_entry> report_exchange::list_changes()
{
    std::vector<report_entry> out;
    for (const auto& host : std::exchange(touched_, {})) {
        const auto* report = report_of(host);
        if (report == nullptr || (host != self_ && !peers_.is_live(host))) {
            continue;
        }
        const auto hash = list_entry_hash(*report);
        auto& announced = announced_hosts_[host];
        if (announced != hash) {
            announced = hash;
            out.push_back(list_entry(*report));
        }
    }
    if (announced_version_ == peers_.version()) {
        return out;
    }
    announced_version_ = peers_.version();
    for (auto it = announced_hosts_.begin(); it != announced_hosts_.end();) {
        if (it->first == self_ || peers_.is_live(it->first)) {
            ++it;
            continue;
        }
        if (const auto* report = peers_.find(it->first)) {
            out.push_back(list_entry(*report));
            out.back().incremental = true;
            out.back().lost = true;
        }
        it = announced_hosts_.erase(it);
    }
    return out;
}

std::vector<report_exchange::outgoing> report_exchange::run_period(instant now)
{
    summarized_ = last_summary_ != instant{} && now - last_summary_ < limits_.summary_timeout && !is_relay();
    // Relays notice the loss of a relay of another zone, too, before its own zone has replaced it.
    auto watched_hosts = relays();
    if (is_relay()) {
        for (const auto* it : peers_.live()) {
            if (it->availability_zone == zone_) {
                watched_hosts.push_back(it->host);
            }
        }
    }
    const auto version = peers_.version();
    if (uses_relays() && !is_relay()) {
        check_own_relay(now);
    }
    const bool relay_before = is_relay();
    peers_.set_relay_zone(relay_before ? zone_ : zone_name());
    peers_.expire(now, [&](const host_report& it) {
        if (!uses_relays()) {
            return true;
        }
        return relay_before ? reporters_.count(it.host) != 0 || contains(relays(), it.host)
                            : it.host == current_roles().own_relay_host;
    });
    if (!uses_relays()) {
        reporters_.clear();
        pending_.clear();
        from_other_zones_.clear();
        touched_.clear();
        announced_hosts_.clear();
        announced_work_.clear();
        was_relay_ = false;
        return {};
    }
    const bool relay = is_relay();
    if (peers_.version() == version) {
        watched_hosts.clear();
    }
    queue_lost_hosts(now, watched_hosts);
    if (reporters_.empty()) {
        touched_.clear();
    }
    if (!std::exchange(was_relay_, relay) && relay && hooks_.on_became_relay) {
        hooks_.on_became_relay();
    }
    // The direct timeout applies to relays, so a relay must send as often as a host that reports directly.
    if (relay && reporters_.count(self_) != 0 && now - last_sent_ >= limits_.keepalive_interval) {
        pending_.emplace(self_, pending_entry{});
    }
    std::vector<outgoing> out;
    if (!reporter_addresses(now).empty()) {
        out.push_back(make_summary(now));
    }
    return out;
}

void report_exchange::check_own_relay(instant now)
{
    const auto& current = current_roles();
    if (own_relay_ != current.own_relay_host) {
        own_relay_ = current.own_relay_host;
        own_relay_since_ = contains(probed_relays_, own_relay_) ? probing_since_ : now;
    }
    const auto silence = now - std::max(own_relay_since_, last_summary_);
    const bool probes = silence >= limits_.relay_probe_time;
    if (probes && probed_relays_.empty()) {
        probed_relays_ = relays_in(zone_);
        probing_since_ = now;
    } else if (!probes) {
        probed_relays_.clear();
    }
    if (silence <= limits_.relay_timeout) {
        return;
    }
    // The other relays of the zone have been probed meanwhile.
    for (const auto& it : relays_in(zone_)) {
        peers_.remove_if_silent(now, it, limits_.relay_timeout);
    }
}

void report_exchange::queue_lost_hosts(instant now, const std::vector<host_id>& watched_hosts)
{
    std::vector<host_id> gone;
    for (auto it = reporters_.begin(); it != reporters_.end();) {
        const bool lost = it->first != self_ && !peers_.is_live(it->first);
        if (lost) {
            gone.push_back(it->first);
        }
        const bool reports_elsewhere = now - it->second.last_received > limits_.transition_time;
        it = lost || reports_elsewhere ? reporters_.erase(it) : std::next(it);
    }
    for (const auto& it : watched_hosts) {
        if (it != self_ && !peers_.is_live(it)) {
            gone.push_back(it);
        }
    }
    if (!is_relay()) {
        return;
    }
    for (const auto& it : gone) {
        loss_notices_[it] = limits_.loss_notices;
    }
    for (auto it = loss_notices_.begin(); it != loss_notices_.end();) {
        const bool ended = peers_.is_live(it->first) || it->second-- == 0;
        if (!ended) {
            pending_[it->first].lost = true;
        }
        it = ended ? loss_notices_.erase(it) : std::next(it);
    }
}

void report_exchange::queue_introduction(instant now, const host_report& newcomer, bool reports_here)
{
    const auto found = reporters_.find(newcomer.host);
    const bool known = found != reporters_.end() && found->second.report.incarnation == newcomer.incarnation;
    if (reports_here && known && !newcomer.requests_member_list) {
        return;
    }
    // A host that takes this one for its relay although it is none lacks recent changes of the list.
    const bool needs_list = reports_here || (newcomer.uses_relay && newcomer.availability_zone == zone_);
    auto& introduced = last_introductions_[newcomer.host];
    const bool list_due = introduced.list == instant{} || now - introduced.list >= limits_.introduction_interval;
    if (needs_list && (list_due || (reports_here && !known))) {
        introduced.list = now;
        introduced.relays = now;
        list_receivers_.insert(newcomer.addresses.report);
        return;
    }
    // A host of this zone that asks whether this one lives gets an answer in each period.
    const auto interval =
        newcomer.availability_zone == zone_ ? limits_.keepalive_interval : limits_.introduction_interval;
    if (!reports_here && (introduced.relays == instant{} || now - introduced.relays >= interval)) {
        introduced.relays = now;
        relay_list_receivers_.insert(newcomer.addresses.report);
    }
}

std::vector<report_exchange::outgoing> report_exchange::introductions()
{
    std::vector<outgoing> out;
    const auto introduce = [&](std::set<std::string>& receivers, bool all) {
        if (receivers.empty()) {
            return;
        }
        std::vector<report_entry> entries = {list_entry(own_report_)};
        for (const auto* it : peers_.live()) {
            if (all || contains(relays(), it->host)) {
                entries.push_back(list_entry(*it));
            }
        }
        out.push_back({{receivers.begin(), receivers.end()}, compose(false, false, std::move(entries)), std::nullopt});
        receivers.clear();
    };
    introduce(list_receivers_, true);
    introduce(relay_list_receivers_, false);
    return out;
}

report_exchange::outgoing report_exchange::make_summary(instant now)
{
    fleet_summary out;
    out.relay = self_;
    out.incarnation = own_report_.incarnation;
    out.sequence = ++summary_sequence_;
    out.member_digest = peers_.member_digest() ^ member_hash(own_report_);
    out.configuration = own_report_.configuration;
    out.directory_revision = own_report_.directory_revision;
    out.evacuation_revision = own_report_.evacuation_revision;
    out.platform_reachable =
        own_report_.platform_reachable || std::any_of(peers_.live().begin(), peers_.live().end(),
                                                      [](const host_report* it) { return it->platform_reachable; });
    if (hooks_.leaving_upstreams) {
        out.leaving_upstreams = hooks_.leaving_upstreams();
    }
    const auto work = hooks_.fleet_work ? hooks_.fleet_work() : work_map();
    std::vector<std::pair<instant, upstream_id>> due;
    for (const auto& [id, amounts] : work) {
        auto& known = announced_work_[id];
        if (known.work != amounts || now - known.at >= limits_.work_refresh_interval) {
            due.emplace_back(known.at, id);
        }
    }
    for (const auto& [id, known] : announced_work_) {
        if (work.count(id) == 0) {
            due.emplace_back(known.at, id);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), limits_.summary_upstreams));
    for (const auto& [at, id] : due) {
        const auto found = work.find(id);
        if (found != work.end()) {
            out.work.emplace(id, found->second);
            announced_work_[id] = {found->second, now};
            continue;
        }
        out.work.emplace(id, upstream_work{});
        auto& ended = announced_work_[id];
        // The end of all work is repeated once, in case the first datagram is lost.
        if (ended.work.empty()) {
            announced_work_.erase(id);
        } else {
            ended = {upstream_work{}, now};
        }
    }
    return {reporter_addresses(now), {}, std::move(out)};
}

void report_exchange::receive_summary(instant now, const fleet_summary& summary)
{
    const bool late = summary.relay == summary_relay_ && summary.incarnation == summary_version_.incarnation &&
                      summary.sequence <= summary_version_.sequence;
    if (late || is_relay() || !peers_.is_live(summary.relay)) {
        return;
    }
    summary_relay_ = summary.relay;
    summary_version_ = {summary.incarnation, summary.sequence};
    last_summary_ = now;
    summarized_ = true;
    peers_.on_relay_summary(now, summary);
    compare_lists(now, summary);
    if (hooks_.on_summary) {
        hooks_.on_summary(summary);
    }
}

void report_exchange::compare_lists(instant now, const fleet_summary& summary)
{
    if (summary.member_digest == (peers_.member_digest() ^ member_hash(own_report_))) {
        lists_differ_since_ = {};
        requests_member_list_ = false;
        return;
    }
    if (lists_differ_since_ == instant{}) {
        lists_differ_since_ = now;
    }
    const auto requested_at = lists_differ_since_ + limits_.list_tolerance;
    requests_member_list_ = now >= requested_at;
    if (now - lists_differ_since_ >= limits_.list_timeout) {
        peers_.remove_unheard(now, requested_at, summary.relay);
        lists_differ_since_ = now;
    }
}

std::vector<std::string> encode(const report_exchange::outgoing& message)
{
    return message.summary ? std::vector<std::string>{encode_summary(*message.summary)}
                           : encode_datagrams(message.content);
}

} // namespace anvillead
