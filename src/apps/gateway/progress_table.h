#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/progress_period.h"
#include "core/ranked_mutex.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Progress of all grants in use by this gateway, for the progress reports to schedulers.
class progress_table
{
public:
    explicit progress_table(progress_rate rate = {}) : rate_(rate) {}

    /// Adds a grant. `scheduler` is the link address of the scheduler that issued it at time `granted`.
    void add_grant(const std::string& scheduler, const grant_progress& value, instant granted, instant now);
    void record_output(const grant_id& id, std::int64_t output, instant now);
    /// Pauses or resumes the time since the last token, which is reported as zero while flow control stops reading from
    /// the engine.
    void set_paused(const grant_id& id, bool paused);
    /// Removes the grant. Returns its scheduler and final state, which must be sent to that scheduler.
    std::optional<std::pair<std::string, grant_progress>> remove_grant(const grant_id& id, grant_state state,
                                                                       instant now);
    /// Returns the reports by scheduler. They contain all grants in use if progress_period() has elapsed since the last
    /// such report, otherwise only grants that have not been reported yet.
    std::map<std::string, progress_report> take_reports(instant now);
    /// Returns a report of all grants on `engines` for a scheduler that has taken them over.
    progress_report takeover_report(const std::vector<upstream_id>& engines, const std::string& scheduler, instant now);

private:
    enum class entry_form
    {
        /// First entry of a grant, without names, because the scheduler has issued the grant recently and knows them.
        summary,
        full,
        update
    };

    struct entry
    {
        grant_progress report(instant now) const;

        std::string scheduler;
        grant_progress value;
        instant last_token;
        bool paused = false;
        entry_form next_form = entry_form::full;
        /// Time of the next full entry.
        instant next_full_at;
    };

    void append_entry(entry& item, progress_report& report, instant now) const;

    progress_rate rate_;
    ranked_mutex mutex_{lock_rank::grants};
    std::map<grant_id, entry> entries_;
    /// Time of the last takeover report by scheduler.
    std::map<std::string, instant> takeovers_;
    instant next_report_at_{};
    std::uint64_t last_number_ = 0;
};

/// Returns the entry without names, which suffices for the end of a grant: the end of an unknown grant has no effect.
progress_summary to_summary(const grant_progress& value);

} // namespace anvillead
