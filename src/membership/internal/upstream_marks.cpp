#include "membership/upstream_marks.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

// A longer silence breaks a run of reports. Schedulers poll load every 200 ms, agents the host list every 5 s.
constexpr milliseconds longest_report_gap{15000};

} // namespace

bool upstream_marks::merge(const upstream_mark& value)
{
    const auto it = marks_.find({value.id, value.source});
    if (it == marks_.end()) {
        if (marks_.size() >= limit_) {
            return false;
        }
        marks_.emplace(key{value.id, value.source}, value);
        ++revision_;
        return true;
    }
    auto& mark = it->second;
    const bool newer = value.version > mark.version;
    if (!newer && !(value.version == mark.version && value.leaving && !mark.leaving)) {
        return false;
    }
    mark = value;
    returning_.erase({value.id, value.source});
    ++revision_;
    return true;
}

bool upstream_marks::report(instant now, const key& id, bool leaving)
{
    const auto it = marks_.find(id);
    const bool marked = it != marks_.end() && it->second.leaving;
    const auto version = it == marks_.end() ? 0 : it->second.version;
    if (leaving) {
        returning_.erase(id);
        return !marked && merge({id.first, id.second, version + 1, true});
    }
    if (!marked) {
        return false;
    }
    const auto run = returning_.try_emplace(id, now, now).first;
    if (now - run->second.second > longest_report_gap) {
        run->second.first = now;
    }
    run->second.second = now;
    return now - run->second.first >= return_hold_ && merge({id.first, id.second, version + 1, false});
}

const upstream_mark* upstream_marks::find(const key& id) const
{
    const auto it = marks_.find(id);
    return it == marks_.end() ? nullptr : &it->second;
}

std::vector<upstream_mark> upstream_marks::all() const
{
    std::vector<upstream_mark> out;
    for (const auto& [id, mark] : marks_) {
        out.push_back(mark);
    }
    return out;
}

std::vector<upstream_id> upstream_marks::leaving() const
{
    std::vector<upstream_id> out;
    for (const auto& [id, mark] : marks_) {
        // Marks are in id order, so the marks of one upstream are neighbours.
        if (mark.leaving && id.second != upstream_source::entry_host && (out.empty() || out.back() != id.first)) {
            out.push_back(id.first);
        }
    }
    return out;
}

bool upstream_marks::is_leaving(const host_id& host) const
{
    const auto* mark = find({upstream_id(host.str()), upstream_source::entry_host});
    return mark != nullptr && mark->leaving;
}

std::uint64_t upstream_marks::digest() const
{
    std::uint64_t out = 0;
    for (const auto& [id, mark] : marks_) {
        out ^= placement_hash(fmt::format("{}#{}/{}/{}", id.first.str(), static_cast<int>(id.second), mark.version,
                                          mark.leaving ? 1 : 0));
    }
    return out;
}

} // namespace anvillead
