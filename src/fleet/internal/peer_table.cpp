#include "fleet/peer_table.h"

#include <algorithm>

namespace anvillead {

peer_table::peer_table(host_id self, std::string own_report_address, peer_limits limits)
    : self_(std::move(self)), own_address_(std::move(own_report_address)), limits_(limits)
{}

void peer_table::add_contact(instant now, const std::string& report_address)
{
    if (!report_address.empty() && report_address != own_address_) {
        contacts_[report_address].added = now;
    }
}

bool peer_table::on_report(instant now, const host_report& value)
{
    if (value.host == self_ || value.addresses.report == own_address_) {
        return false;
    }
    auto& known = peers_[value.host];
    if (known.report.incarnation == value.incarnation) {
        if (value.sequence <= known.report.sequence) {
            return false;
        }
    } else if (value.incarnation == known.previous) {
        return false;
    } else {
        known.previous = known.report.incarnation;
    }
    known.report = value;
    known.heard = now;
    for (const auto& it : value.contacts) {
        if (contacts_.count(it) == 0) {
            add_contact(now, it);
        }
    }
    if (!known.live) {
        known.live = true;
        if (hooks_.on_joined) {
            hooks_.on_joined(value);
        }
    }
    if (hooks_.on_report) {
        hooks_.on_report(value);
    }
    return true;
}

void peer_table::expire(instant now)
{
    for (auto& [host, value] : peers_) {
        if (!value.live || now - value.heard <= limits_.silence) {
            continue;
        }
        value.live = false;
        add_contact(now, value.report.addresses.report);
        if (hooks_.on_lost) {
            hooks_.on_lost(host);
        }
    }
    for (auto it = contacts_.begin(); it != contacts_.end();) {
        it = now - it->second.added > limits_.contact_age ? contacts_.erase(it) : std::next(it);
    }
}

std::vector<std::string> peer_table::due_addresses(instant now)
{
    auto out = live_addresses();
    for (auto& [address, value] : contacts_) {
        if (now - value.tried < limits_.contact_period) {
            continue;
        }
        value.tried = now;
        if (std::find(out.begin(), out.end(), address) == out.end()) {
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
    // A host without configuration would only refuse.
    out.addresses.gateway_http = value.ready ? value.addresses.frontend : std::string();
    return out;
}

} // namespace anvillead
