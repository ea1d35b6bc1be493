#include "fleet/peer_table.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

/// Whether the reports differ in a property that `peer_table::version` covers.
bool same_membership(const host_report& a, const host_report& b)
{
    return a.incarnation == b.incarnation && a.ready == b.ready && a.leaving == b.leaving &&
           a.without_path == b.without_path && a.platform_reachable == b.platform_reachable &&
           a.availability_zone == b.availability_zone && a.link_mbps == b.link_mbps &&
           a.addresses.frontend == b.addresses.frontend && a.addresses.control == b.addresses.control &&
           a.addresses.report == b.addresses.report;
}

/// Applies an incremental entry to the last full report.
void merge(host_report& known, const host_report& update)
{
    known.sequence = update.sequence;
    known.ready = update.ready;
    known.leaving = update.leaving;
    known.without_path = update.without_path;
    known.platform_reachable = update.platform_reachable;
    known.configuration = update.configuration;
    known.directory_revision = update.directory_revision;
    known.evacuation_revision = update.evacuation_revision;
    known.leaving_upstreams = update.leaving_upstreams;
    known.requests_member_list = update.requests_member_list;
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

bool peer_table::is_new_report(const peer* known, const report_entry& value, bool direct) const
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
    if (value.incremental || report.incarnation == known->previous_incarnation) {
        return false;
    }
    // Another host may still describe the process before a restart.
    return direct || !known->live || report.incarnation > known->report.incarnation;
}

bool peer_table::on_report(instant now, const report_entry& value, bool direct, bool repeats, bool from_relay)
{
    if (value.lost) {
        on_reported_lost(now, value);
        return false;
    }
    const auto found = peers_.find(value.report.host);
    if (!is_new_report(found == peers_.end() ? nullptr : &found->second, value, direct)) {
        // The list of the relay states that a host lives, even if this one already knows more about it. Other lists do
        // not, or hosts would confirm a lost host to each other.
        const bool confirmed = from_relay && found != peers_.end() && found->second.live &&
                               found->second.report.incarnation == value.report.incarnation;
        if (confirmed) {
            found->second.last_heard = now;
        }
        return false;
    }
    auto& known = peers_[value.report.host];
    const auto before = known.report;
    if (known.report.incarnation != value.report.incarnation) {
        known.previous_incarnation = known.report.incarnation;
        known.last_heard_directly = {};
    }
    if (value.incremental) {
        merge(known.report, value.report);
    } else {
        known.report = value.report;
        if (value.without_work && before.incarnation == value.report.incarnation) {
            known.report.work = before.work;
        }
    }
    known.last_heard = now;
    if (direct) {
        record_direct_report(now, known, repeats);
    }
    for (const auto& it : value.report.contacts) {
        if (contacts_.count(it) == 0 && live_addresses_.count(it) == 0) {
            add_contact(now, it);
        }
    }
    const bool joined = !std::exchange(known.live, true);
    if (joined || !same_membership(before, known.report)) {
        ++version_;
    }
    if (!joined && before.addresses.report != known.report.addresses.report) {
        remove_live_address(before.addresses.report);
    }
    if (joined || before.addresses.report != known.report.addresses.report) {
        ++live_addresses_[known.report.addresses.report];
        contacts_.erase(known.report.addresses.report);
    }
    if (joined) {
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

void peer_table::on_relay_datagram(instant now, const host_id& host, bool repeats)
{
    const auto found = peers_.find(host);
    if (found != peers_.end() && found->second.live) {
        found->second.last_heard = now;
        record_direct_report(now, found->second, repeats);
    }
}

void peer_table::on_relay_summary(instant now, const fleet_summary& summary)
{
    last_summary_ = now;
    on_relay_datagram(now, summary.relay);
    const auto found = peers_.find(summary.relay);
    if (found != peers_.end()) {
        auto& report = found->second.report;
        report.configuration = summary.configuration;
        report.directory_revision = summary.directory_revision;
        report.evacuation_revision = summary.evacuation_revision;
    }
}

void peer_table::remove_if_silent(instant now, const host_id& host, milliseconds timeout)
{
    const auto found = peers_.find(host);
    if (found != peers_.end() && found->second.live && now - found->second.last_heard_directly > timeout) {
        mark_lost(now, host, found->second);
    }
}

void peer_table::remove_unheard(instant now, instant time, const host_id& relay)
{
    for (auto& [host, value] : peers_) {
        if (value.live && value.last_heard < time && host != relay) {
            mark_lost(now, host, value);
        }
    }
}

void peer_table::record_direct_report(instant now, peer& value, bool repeats) const
{
    value.reports_periodically =
        repeats && value.last_heard_directly != instant{} && now - value.last_heard_directly <= limits_.direct_timeout;
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
    ++version_;
    remove_live_address(value.report.addresses.report);
    add_contact(now, value.report.addresses.report);
    if (hooks_.on_lost) {
        hooks_.on_lost(host);
    }
}

void peer_table::remove_live_address(const std::string& address)
{
    const auto found = live_addresses_.find(address);
    if (found != live_addresses_.end() && --found->second == 0) {
        live_addresses_.erase(found);
    }
}

void peer_table::compensate_pause(instant now)
{
    const auto pause = last_expire_ == instant{} ? instant::duration{} : now - last_expire_;
    last_expire_ = now;
    if (pause <= limits_.pause_threshold) {
        return;
    }
    last_summary_ = last_summary_ == instant{} ? last_summary_ : std::min(now, last_summary_ + pause);
    for (auto& [host, value] : peers_) {
        const bool direct = value.last_heard_directly == value.last_heard;
        value.last_heard = std::min(now, value.last_heard + pause);
        value.last_heard_directly = direct ? value.last_heard : value.last_heard_directly;
    }
}

milliseconds peer_table::timeout_of(const peer& value, bool direct) const
{
    if (direct) {
        return limits_.direct_timeout;
    }
    const bool remote = !relay_zone_.empty() && value.report.availability_zone != relay_zone_;
    return remote ? limits_.remote_timeout : limits_.relayed_timeout;
}

void peer_table::expire(instant now, const std::function<bool(const host_report&)>& expects_direct_reports)
{
    compensate_pause(now);
    for (auto& [host, value] : peers_) {
        const bool direct = value.reports_periodically && value.last_heard_directly == value.last_heard &&
                            expects_direct_reports(value.report);
        const auto heard = direct ? value.last_heard : std::max(value.last_heard, last_summary_);
        if (value.live && now - heard > timeout_of(value, direct)) {
            mark_lost(now, host, value);
        }
    }
    for (auto it = contacts_.begin(); it != contacts_.end();) {
        it = now - it->second.added > limits_.contact_timeout ? contacts_.erase(it) : std::next(it);
    }
}

void peer_table::retry_contacts()
{
    for (auto& [address, value] : contacts_) {
        value.last_tried = {};
    }
}

std::vector<std::string> peer_table::due_contacts(instant now)
{
    std::vector<std::pair<instant, std::string>> due;
    for (const auto& [address, value] : contacts_) {
        if (now - value.last_tried >= limits_.contact_period && live_addresses_.count(address) == 0) {
            due.emplace_back(value.last_tried, address);
        }
    }
    const auto count = std::min(due.size(), limits_.max_contacts_per_report);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        contacts_[due[i].second].last_tried = now;
        out.push_back(std::move(due[i].second));
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

const std::vector<const host_report*>& peer_table::live() const
{
    if (live_version_ == version_) {
        return live_;
    }
    live_.clear();
    for (const auto& [host, value] : peers_) {
        if (value.live) {
            live_.push_back(&value.report);
        }
    }
    live_version_ = version_;
    return live_;
}

std::uint64_t peer_table::member_digest() const
{
    if (digest_version_ != version_) {
        digest_ = 0;
        for (const auto* it : live()) {
            digest_ ^= member_hash(*it);
        }
        digest_version_ = version_;
    }
    return digest_;
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

std::uint64_t member_hash(const host_report& value)
{
    const char state[] = {value.ready ? 'r' : '-', value.leaving ? 'l' : '-', value.without_path ? 'w' : '-', '\0'};
    return placement_hash(value.host.str() + '\n' + value.incarnation + '\n' + state);
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
