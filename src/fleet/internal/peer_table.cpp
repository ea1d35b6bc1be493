#include "fleet/peer_table.h"

#include <algorithm>

namespace anvillead {

namespace {

/// Applies an incremental entry to the last full report.
void merge(host_report& known, const host_report& update)
{
    known.sequence = update.sequence;
    known.ready = update.ready;
    known.leaving = update.leaving;
    known.platform_reachable = update.platform_reachable;
    known.configuration = update.configuration;
    known.directory_revision = update.directory_revision;
    known.leaving_upstreams = update.leaving_upstreams;
    for (const auto& [id, work] : update.work) {
        if (work.empty()) {
            known.work.erase(id);
        } else {
            known.work[id] = work;
        }
    }
}

} // namespace

peer_table::peer_table(host_id self, std::string own_report_address, peer_limits limits)
    : self_(std::move(self)), own_report_address_(std::move(own_report_address)), limits_(limits)
{}

void peer_table::add_contact(instant now, const std::string& report_address)
{
    if (!report_address.empty() && report_address != own_report_address_) {
        contacts_[report_address].added = now;
    }
}

bool peer_table::is_new_report(const peer* known, const report_entry& value) const
{
    const auto& report = value.report;
    if (report.host == self_ || (!value.incremental && report.addresses.report == own_report_address_)) {
        return false;
    }
    if (known == nullptr) {
        return !value.incremental;
    }
    if (known->report.incarnation == report.incarnation) {
        return report.sequence > known->report.sequence;
    }
    return !value.incremental && report.incarnation != known->previous_incarnation;
}

bool peer_table::on_report(instant now, const report_entry& value, bool direct)
{
    if (value.lost) {
        on_reported_lost(now, value);
        return false;
    }
    const auto found = peers_.find(value.report.host);
    if (!is_new_report(found == peers_.end() ? nullptr : &found->second, value)) {
        return false;
    }
    auto& known = peers_[value.report.host];
    if (known.report.incarnation != value.report.incarnation) {
        known.previous_incarnation = known.report.incarnation;
        known.last_heard_directly = {};
    }
    if (value.incremental) {
        merge(known.report, value.report);
    } else {
        known.report = value.report;
    }
    known.last_heard = now;
    if (direct) {
        record_direct_report(now, known);
    }
    for (const auto& it : value.report.contacts) {
        if (contacts_.count(it) == 0) {
            add_contact(now, it);
        }
    }
    if (!std::exchange(known.live, true)) {
        ++live_count_;
        if (hooks_.on_joined) {
            hooks_.on_joined(known.report);
        }
    }
    if (hooks_.on_report) {
        hooks_.on_report(known.report);
    }
    return true;
}

void peer_table::on_relay_datagram(instant now, const host_id& host)
{
    const auto found = peers_.find(host);
    if (found != peers_.end() && found->second.live) {
        found->second.last_heard = now;
        record_direct_report(now, found->second);
    }
}

void peer_table::record_direct_report(instant now, peer& value) const
{
    value.reports_periodically =
        value.last_heard_directly != instant{} && now - value.last_heard_directly <= limits_.direct_timeout;
    value.last_heard_directly = now;
}

void peer_table::on_reported_lost(instant now, const report_entry& value)
{
    const auto found = peers_.find(value.report.host);
    if (found == peers_.end() || !found->second.live) {
        return;
    }
    auto& known = found->second;
    const bool same_process = known.report.incarnation == value.report.incarnation;
    const bool heard_since =
        known.report.sequence > value.report.sequence ||
        (known.last_heard_directly != instant{} && now - known.last_heard_directly <= limits_.direct_timeout);
    if (same_process && !heard_since) {
        mark_lost(now, found->first, known);
    }
}

void peer_table::mark_lost(instant now, const host_id& host, peer& value)
{
    value.live = false;
    --live_count_;
    add_contact(now, value.report.addresses.report);
    if (hooks_.on_lost) {
        hooks_.on_lost(host);
    }
}

void peer_table::compensate_pause(instant now)
{
    const auto pause = last_expire_ == instant{} ? instant::duration{} : now - last_expire_;
    last_expire_ = now;
    if (pause <= limits_.pause_threshold) {
        return;
    }
    for (auto& [host, value] : peers_) {
        const bool direct = value.last_heard_directly == value.last_heard;
        value.last_heard = std::min(now, value.last_heard + pause);
        value.last_heard_directly = direct ? value.last_heard : value.last_heard_directly;
    }
}

void peer_table::expire(instant now, const std::function<bool(const host_report&)>& expects_direct_reports)
{
    compensate_pause(now);
    for (auto& [host, value] : peers_) {
        const bool direct = value.reports_periodically && value.last_heard_directly == value.last_heard &&
                            expects_direct_reports(value.report);
        if (value.live && now - value.last_heard > (direct ? limits_.direct_timeout : limits_.relayed_timeout)) {
            mark_lost(now, host, value);
        }
    }
    for (auto it = contacts_.begin(); it != contacts_.end();) {
        it = now - it->second.added > limits_.contact_timeout ? contacts_.erase(it) : std::next(it);
    }
}

std::vector<std::string> peer_table::due_contacts(instant now)
{
    const auto known = live_addresses();
    std::vector<std::string> out;
    for (auto& [address, value] : contacts_) {
        if (now - value.last_tried < limits_.contact_period) {
            continue;
        }
        value.last_tried = now;
        if (std::find(known.begin(), known.end(), address) == known.end()) {
            out.push_back(address);
        }
    }
    return out;
}

std::vector<std::string> peer_table::live_addresses() const
{
    std::vector<std::string> out;
    for (const auto* it : live()) {
        out.push_back(it->addresses.report);
    }
    return out;
}

std::vector<const host_report*> peer_table::live() const
{
    std::vector<const host_report*> out;
    for (const auto& [host, value] : peers_) {
        if (value.live) {
            out.push_back(&value.report);
        }
    }
    return out;
}

bool peer_table::is_live(const host_id& host) const
{
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.live;
}

const host_report* peer_table::find(const host_id& host) const
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second.report;
}

std::vector<member> peer_table::members() const
{
    std::vector<member> out;
    for (const auto* it : live()) {
        out.push_back(to_member(*it));
    }
    return out;
}

member to_member(const host_report& value)
{
    member out;
    out.host = value.host;
    out.availability_zone = value.availability_zone;
    out.generation = value.configuration;
    out.leaving = value.leaving;
    out.state = value.leaving ? member_state::leaving : member_state::alive;
    // A host without a configuration would refuse all requests.
    out.addresses.gateway_http = value.ready ? value.addresses.frontend : std::string();
    return out;
}

} // namespace anvillead
