#include "apps/gateway/progress_table.h"

#include <algorithm>

namespace anvillead {

namespace {

// Interval of full entries, from which a scheduler restores a grant that it does not know.
constexpr seconds full_period{20};
// A scheduler drops a grant without progress after 3 s and then needs the names to adopt it again.
constexpr seconds max_summary_age{1};

} // namespace

progress_summary to_summary(const grant_progress& value)
{
    return {value.id, value.output, value.state, value.silent, value.number};
}

grant_progress progress_table::entry::report(instant now) const
{
    auto out = value;
    out.silent = paused ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - last_token);
    return out;
}

void progress_table::add_grant(const std::string& scheduler, const grant_progress& value, instant granted, instant now)
{
    const std::lock_guard lock(mutex_);
    // The address may belong to another scheduler process by now, which does not know the grant.
    const auto takeover = takeovers_.find(scheduler);
    const bool known = now - granted < max_summary_age && (takeover == takeovers_.end() || takeover->second < granted);
    auto& item = entries_[value.id];
    item = {scheduler, value, now, false, known ? entry_form::summary : entry_form::full, now + full_period};
    item.value.number = ++last_number_;
}

void progress_table::record_output(const grant_id& id, std::int64_t output, instant now)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.value.output = {output};
        it->second.last_token = now;
    }
}

void progress_table::set_paused(const grant_id& id, bool paused)
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.paused != paused) {
        it->second.paused = paused;
        it->second.last_token = std::chrono::steady_clock::now();
    }
}

std::optional<std::pair<std::string, grant_progress>> progress_table::remove_grant(const grant_id& id,
                                                                                   grant_state state, instant now)
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

void progress_table::append_entry(entry& item, progress_report& report, instant now) const
{
    const auto value = item.report(now);
    if (item.next_form == entry_form::full || now >= item.next_full_at) {
        report.grants.push_back(value);
        item.next_full_at = now + full_period;
    } else if (item.next_form == entry_form::summary) {
        report.briefs.push_back(to_summary(value));
    } else {
        report.updates.push_back({value.number, value.output, value.silent});
    }
    item.next_form = entry_form::update;
}

std::map<std::string, progress_report> progress_table::take_reports(instant now)
{
    std::map<std::string, progress_report> out;
    const std::lock_guard lock(mutex_);
    const bool report_all = now >= next_report_at_;
    for (auto& [id, item] : entries_) {
        if (report_all || item.next_form != entry_form::update) {
            append_entry(item, out[item.scheduler], now);
        }
    }
    if (report_all) {
        next_report_at_ = now + progress_period(entries_.size(), rate_);
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
        it = now - it->second > max_summary_age ? takeovers_.erase(it) : std::next(it);
    }
    takeovers_[scheduler] = now;
    for (auto& [id, item] : entries_) {
        if (std::find(engines.begin(), engines.end(), item.value.engine) == engines.end()) {
            continue;
        }
        item.scheduler = scheduler;
        item.next_form = entry_form::update;
        item.next_full_at = now + full_period;
        out.grants.push_back(item.report(now));
    }
    return out;
}

} // namespace anvillead
