#include "membership/upstream_marks.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

// A longer interval between two reports interrupts a series. Schedulers poll the load every 200 ms, agents the host
// list every 5 s.
constexpr milliseconds max_report_gap{15000};

} // namespace

bool upstream_leave_table::merge(const upstream_leave_status& value)
{
    const auto it = statuses_.find({value.id, value.source});
    if (it == statuses_.end()) {
        if (statuses_.size() >= limit_) {
            return false;
        }
        statuses_.emplace(key{value.id, value.source}, value);
        ++revision_;
        return true;
    }
    auto& status = it->second;
    const bool newer = value.version > status.version;
    if (!newer && !(value.version == status.version && value.leaving && !status.leaving)) {
        return false;
    }
    status = value;
    returning_.erase({value.id, value.source});
    ++revision_;
    return true;
}

bool upstream_leave_table::report(instant now, const key& id, bool leaving)
{
    const auto it = statuses_.find(id);
    const bool was_leaving = it != statuses_.end() && it->second.leaving;
    const auto version = it == statuses_.end() ? 0 : it->second.version;
    if (leaving) {
        returning_.erase(id);
        return !was_leaving && merge({id.first, id.second, version + 1, true});
    }
    if (!was_leaving) {
        return false;
    }
    const auto run = returning_.try_emplace(id, now, now).first;
    if (now - run->second.second > max_report_gap) {
        run->second.first = now;
    }
    run->second.second = now;
    return now - run->second.first >= return_delay_ && merge({id.first, id.second, version + 1, false});
}

const upstream_leave_status* upstream_leave_table::find(const key& id) const
{
    const auto it = statuses_.find(id);
    return it == statuses_.end() ? nullptr : &it->second;
}

std::vector<upstream_leave_status> upstream_leave_table::all() const
{
    std::vector<upstream_leave_status> out;
    for (const auto& [id, status] : statuses_) {
        out.push_back(status);
    }
    return out;
}

std::vector<upstream_id> upstream_leave_table::leaving() const
{
    std::vector<upstream_id> out;
    for (const auto& [id, status] : statuses_) {
        // The map is sorted by id, so the statuses of one upstream are adjacent.
        if (status.leaving && id.second != upstream_source::entry_host && (out.empty() || out.back() != id.first)) {
            out.push_back(id.first);
        }
    }
    return out;
}

bool upstream_leave_table::is_leaving(const host_id& host) const
{
    const auto* status = find({upstream_id(host.str()), upstream_source::entry_host});
    return status != nullptr && status->leaving;
}

std::uint64_t upstream_leave_table::digest() const
{
    std::uint64_t out = 0;
    for (const auto& [id, status] : statuses_) {
        out ^= placement_hash(fmt::format("{}#{}/{}/{}", id.first.str(), static_cast<int>(id.second), status.version,
                                          status.leaving ? 1 : 0));
    }
    return out;
}

} // namespace anvillead
