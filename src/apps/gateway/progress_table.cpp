#include "apps/gateway/progress_table.h"

#include <algorithm>

namespace anvillead {

namespace {

// A full entry after this time repairs a scheduler that does not know the grant.
constexpr seconds full_period{20};
// A scheduler gives up a grant without progress after 3 s, and would need the names to adopt it again.
constexpr seconds brief_within{1};

} // namespace

progress_brief without_names(const grant_progress& value)
{
    return {value.id, value.output, value.state, value.silent, value.number};
}

grant_progress progress_table::entry::report(instant now) const
{
    auto out = value;
    out.silent = held ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - last_token);
    return out;
}

void progress_table::begin(const std::string& scheduler, const grant_progress& value, instant granted, instant now)
{
    const std::lock_guard lock(mutex_);
    // Another process may have taken the scheduler's address since; it does not know the grant.
    const auto takeover = takeovers_.find(scheduler);
    const bool known = now - granted < brief_within && (takeover == takeovers_.end() || takeover->second < granted);
    auto& item = entries_[value.id];
    item = {scheduler, value, now, false, known ? entry_form::brief : entry_form::full, now + full_period};
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

void progress_table::list(entry& item, progress_report& report, instant now) const
{
    const auto value = item.report(now);
    if (item.next == entry_form::full || now >= item.full_at) {
        report.grants.push_back(value);
        item.full_at = now + full_period;
    } else if (item.next == entry_form::brief) {
        report.briefs.push_back(without_names(value));
    } else {
        report.updates.push_back({value.number, value.output, value.silent});
    }
    item.next = entry_form::update;
}

std::map<std::string, progress_report> progress_table::take_reports(instant now)
{
    std::map<std::string, progress_report> out;
    const std::lock_guard lock(mutex_);
    const bool all = now >= next_list_;
    for (auto& [id, item] : entries_) {
        if (all || item.next != entry_form::update) {
            list(item, out[item.scheduler], now);
        }
    }
    if (all) {
        next_list_ = now + progress_period(entries_.size(), rate_);
    }
    return out;
}

progress_report progress_table::takeover_report(const std::vector<upstream_id>& engines, const std::string& scheduler,
                                                instant now)
{
    progress_report out;
    out.complete = true;
    const std::lock_guard lock(mutex_);
    for (auto it = takeovers_.begin(); it != takeovers_.end();) {
        it = now - it->second > brief_within ? takeovers_.erase(it) : std::next(it);
    }
    takeovers_[scheduler] = now;
    for (auto& [id, item] : entries_) {
        if (std::find(engines.begin(), engines.end(), item.value.engine) == engines.end()) {
            continue;
        }
        item.scheduler = scheduler;
        item.next = entry_form::update;
        item.full_at = now + full_period;
        out.grants.push_back(item.report(now));
    }
    return out;
}

} // namespace anvillead
