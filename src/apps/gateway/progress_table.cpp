#include "apps/gateway/progress_table.h"

#include <algorithm>

namespace anvillead {

grant_progress progress_table::entry::report(instant now) const
{
    auto out = value;
    out.silent = held ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - last_token);
    return out;
}

void progress_table::begin(const std::string& scheduler, const grant_progress& value)
{
    const std::lock_guard lock(mutex_);
    entries_[value.id] = {scheduler, value, std::chrono::steady_clock::now(), false};
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

void progress_table::end(const grant_id& id, grant_state state)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.value.state = state;
    }
}

std::map<std::string, progress_report> progress_table::take_reports(instant now)
{
    std::map<std::string, progress_report> out;
    const std::lock_guard lock(mutex_);
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& [id, item] = *it;
        out[item.scheduler].grants.push_back(item.report(now));
        it = item.value.state == grant_state::running ? std::next(it) : entries_.erase(it);
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
        out.grants.push_back(item.report(now));
    }
    return out;
}

} // namespace anvillead
