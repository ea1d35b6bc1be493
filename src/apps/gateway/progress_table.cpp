#include "apps/gateway/progress_table.h"

#include <algorithm>

namespace anvillead {

namespace {

// A full entry after this many short ones repairs a scheduler that missed the first.
constexpr int short_reports_between = 200;

} // namespace

grant_progress progress_table::entry::report(instant now) const
{
    auto out = value;
    out.silent = held ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - last_token);
    return out;
}

void progress_table::begin(const std::string& scheduler, const grant_progress& value)
{
    const std::lock_guard lock(mutex_);
    auto& item = entries_[value.id];
    item = {scheduler, value, std::chrono::steady_clock::now(), false, 0};
    item.value.number = ++last_number_;
}

void progress_table::advance(const grant_id& id, std::int64_t output, instant now)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.value.output = {output};
        it->second.last_token = now;
    }
}

void progress_table::hold(const grant_id& id, bool held)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.held != held) {
        it->second.held = held;
        it->second.last_token = std::chrono::steady_clock::now();
    }
}

std::optional<std::pair<std::string, grant_progress>> progress_table::end(const grant_id& id, grant_state state,
                                                                          instant now)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it == entries_.end()) {
        return std::nullopt;
    }
    it->second.value.state = state;
    auto out = std::make_pair(it->second.scheduler, it->second.report(now));
    entries_.erase(it);
    return out;
}

std::map<std::string, progress_report> progress_table::take_reports(instant now)
{
    std::map<std::string, progress_report> out;
    const std::lock_guard lock(mutex_);
    for (auto& [id, item] : entries_) {
        auto& report = out[item.scheduler];
        const auto full = item.report(now);
        if (item.short_reports-- > 0) {
            report.updates.push_back({full.number, full.output, full.silent});
        } else {
            report.grants.push_back(full);
            item.short_reports = short_reports_between;
        }
    }
    return out;
}

progress_report progress_table::takeover_report(const std::vector<upstream_id>& engines, const std::string& scheduler,
                                                instant now)
{
    progress_report out;
    out.complete = true;
    const std::lock_guard lock(mutex_);
    for (auto& [id, item] : entries_) {
        if (std::find(engines.begin(), engines.end(), item.value.engine) == engines.end()) {
            continue;
        }
        item.scheduler = scheduler;
        item.short_reports = short_reports_between;
        out.grants.push_back(item.report(now));
    }
    return out;
}

} // namespace anvillead
