#include "dispatch/upstream_directory.h"

#include <algorithm>
#include <set>

namespace anvillead {

void upstream_directory::on_platform_regained(instant now)
{
    if (!platform_unreachable_) {
        return;
    }
    platform_unreachable_ = false;
    grace_until_ = now + limits_.lease_grace;
}

void upstream_directory::on_platform_forgot(instant now)
{
    grace_until_ = now + limits_.lease_grace;
    return_until_ = now + limits_.return_wait;
    for (auto& [id, value] : entries_) {
        value.left_before_forgotten = !value.usable;
        value.listed_again = false;
    }
}

void upstream_directory::replace(instant now, const std::vector<upstream_record>& records)
{
    std::set<upstream_id> listed;
    for (const auto& it : records) {
        listed.insert(it.id);
        apply(now, it);
    }
    std::vector<upstream_id> missing;
    for (const auto& [id, value] : entries_) {
        if (listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const auto& it : missing) {
        remove(now, it);
    }
}

void upstream_directory::apply(instant now, const upstream_record& value)
{
    const auto found = entries_.find(value.id);
    if (found == entries_.end()) {
        auto& added = entries_[value.id];
        added.record = value;
        added.returned_at = listed_ ? now : instant{};
        added.cold_until = now + value.warmup_left;
        if (value.leaving) {
            begin_leaving(now, added);
        }
        return;
    }
    auto& known = found->second;
    if (value.started_at_ms != 0 && value.started_at_ms == known.earlier_start_ms) {
        // It was written by the process before, and the upstream has said since that it has started again.
        return;
    }
    const bool restarted = known.record.started_at_ms != 0 && value.started_at_ms != 0 &&
                           known.record.started_at_ms != value.started_at_ms;
    const bool moved = known.record.address != value.address;
    if (restarted || moved) {
        on_restart(now, known, value);
    }
    known.record = value;
    known.cold_until = now + value.warmup_left;
    known.lapsed = false;
    known.removed = false;
    if (value.leaving) {
        begin_leaving(now, known);
        known.listed_again = false;
        return;
    }
    if (known.said_leaving) {
        begin_leaving(now, known);
        return;
    }
    if (known.left_before_forgotten && now < return_until_) {
        known.listed_again = true;
        return;
    }
    known.usable = true;
    known.leaving_since = {};
}

void upstream_directory::remove(instant now, const upstream_id& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.lapsed) {
        return;
    }
    auto& value = found->second;
    value.listed_again = false;
    value.removed = true;
    if (value.usable && may_be_lapsed_lease(now)) {
        value.lapsed = true;
        value.lapsed_at = now;
        return;
    }
    begin_leaving(now, value);
}

void upstream_directory::mark_leaving(instant now, const upstream_id& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        begin_leaving(now, found->second);
    }
}

void upstream_directory::on_said_leaving(instant now, const upstream_id& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.said_leaving = true;
        begin_leaving(now, found->second);
    }
}

void upstream_directory::on_start_stated(instant now, const upstream_id& id, std::int64_t started_at_ms)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second.usable || found->second.lapsed) {
        return;
    }
    auto& known = found->second;
    const bool comparable = started_at_ms != 0 && known.record.started_at_ms != 0;
    if (!comparable || started_at_ms == known.record.started_at_ms || started_at_ms == known.earlier_start_ms) {
        return;
    }
    auto record = known.record;
    record.started_at_ms = started_at_ms;
    on_restart(now, known, record);
}

void upstream_directory::expire(instant now)
{
    for (auto& [id, value] : entries_) {
        // No lease can be renewed during an outage of the platform, so the grace period starts at its end.
        if (value.lapsed && !platform_unreachable_ && now >= grace_until_) {
            value.lapsed = false;
            begin_leaving(now, value);
        }
    }
    for (auto& [id, value] : entries_) {
        if (value.listed_again && now >= return_until_) {
            value.listed_again = false;
            value.usable = true;
            value.leaving_since = {};
        }
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        const bool listed = it->second.said_leaving && !it->second.removed;
        const bool departed =
            !listed && !it->second.usable && now - it->second.leaving_since > limits_.departed_retention;
        it = departed ? entries_.erase(it) : std::next(it);
    }
}

const upstream_directory::entry* upstream_directory::find(const upstream_id& id) const
{
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second;
}

std::vector<const upstream_directory::entry*> upstream_directory::usable(const service_name& service) const
{
    std::vector<const entry*> out;
    for (const auto& [id, value] : entries_) {
        if (value.usable && value.record.service == service && !is_evacuated(value)) {
            out.push_back(&value);
        }
    }
    return out;
}

bool upstream_directory::accepts(const upstream_id& id) const
{
    const auto* value = find(id);
    return value != nullptr && value->usable && !is_evacuated(*value);
}

bool upstream_directory::all_evacuated(const service_name& service) const
{
    bool out = false;
    for (const auto& [id, value] : entries_) {
        if (!value.usable || value.record.service != service) {
            continue;
        }
        if (!is_evacuated(value)) {
            return false;
        }
        out = true;
    }
    return out;
}

void upstream_directory::set_evacuated(instant now, std::set<zone_name> zones)
{
    for (auto& [id, value] : entries_) {
        if (is_evacuated(value) && zones.count(value.record.availability_zone) == 0) {
            value.returned_at = now;
        }
    }
    evacuated_ = std::move(zones);
}

void upstream_directory::on_warmup_stated(instant now, const upstream_id& id, milliseconds left)
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.cold_until = now + left;
    }
}

bool upstream_directory::is_cold(instant now, const entry& value) const
{
    const auto found = warmups_.find(value.record.service);
    if (found == warmups_.end() || !found->second.bounded()) {
        return false;
    }
    const bool returned = value.returned_at != instant{} && now < value.returned_at + found->second.time;
    return returned || now < value.cold_until;
}

std::optional<double> upstream_directory::warmup_rate(instant now, const upstream_id& id) const
{
    const auto* value = find(id);
    if (value == nullptr || !is_cold(now, *value)) {
        return std::nullopt;
    }
    return warmups_.at(value->record.service).requests_per_s;
}

std::size_t upstream_directory::cold_count(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [&](const auto& it) { return it.second.usable && is_cold(now, it.second); }));
}

std::vector<upstream_id> upstream_directory::recently_leaving(instant now) const
{
    std::vector<upstream_id> out;
    for (const auto& [id, value] : entries_) {
        if (!value.usable && now - value.leaving_since <= limits_.announcement_time) {
            out.push_back(id);
        }
    }
    return out;
}

void upstream_directory::on_restart(instant now, entry& value, const upstream_record& record)
{
    const auto earlier = value.record.started_at_ms == record.started_at_ms ? 0 : value.record.started_at_ms;
    value = entry{};
    value.record = record;
    value.returned_at = now;
    value.earlier_start_ms = earlier;
    if (hooks_.on_restarted) {
        hooks_.on_restarted(record.id);
    }
}

void upstream_directory::begin_leaving(instant now, entry& value)
{
    if (!value.usable) {
        return;
    }
    value.usable = false;
    value.leaving_since = now;
    if (hooks_.on_leaving) {
        hooks_.on_leaving(value.record.id);
    }
}

bool upstream_directory::may_be_lapsed_lease(instant now) const
{
    return platform_unreachable_ || now < grace_until_;
}

} // namespace anvillead
