#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/progress_period.h"
#include "core/ranked_mutex.h"
#include "messages/types/messages.h"

namespace anvillead {

/// State of every grant that this gateway uses, for progress reports to schedulers.
class progress_table
{
public:
    explicit progress_table(progress_rate rate = {}) : rate_(rate) {}

    /// `scheduler` is the link address of the scheduler that gave the grant at `granted`.
    void begin(const std::string& scheduler, const grant_progress& value, instant granted, instant now);
    void advance(const grant_id& id, std::int64_t output, instant now);
    /// While the gateway does not read the engine link on purpose, silence is not reported.
    void hold(const grant_id& id, bool held);
    /// Removes the grant. Returns its scheduler and last state, which the scheduler has to learn.
    std::optional<std::pair<std::string, grant_progress>> end(const grant_id& id, grant_state state, instant now);
    /// Reports by scheduler: all running grants when progress_period() has passed, else only those not listed yet.
    std::map<std::string, progress_report> take_reports(instant now);
    /// Running grants on the given engines, for a scheduler that has just taken over.
    progress_report takeover_report(const std::vector<upstream_id>& engines, const std::string& scheduler, instant now);

private:
    enum class entry_form
    {
        /// Without names, for a scheduler that gave the grant a short time ago and has not listed it yet.
        brief,
        full,
        update
    };

    struct entry
    {
        grant_progress report(instant now) const;

        std::string scheduler;
        grant_progress value;
        instant last_token;
        bool held = false;
        entry_form next = entry_form::full;
        /// Time from which the grant is listed in full again.
        instant full_at;
    };

    void list(entry& item, progress_report& report, instant now) const;

    progress_rate rate_;
    ranked_mutex mutex_{lock_rank::grants};
    std::map<grant_id, entry> entries_;
    /// Last complete report by scheduler.
    std::map<std::string, instant> takeovers_;
    instant next_list_{};
    std::uint64_t last_number_ = 0;
};

/// The entry without the names, for the end of a grant: an unknown grant that has ended changes nothing.
progress_brief without_names(const grant_progress& value);

} // namespace anvillead
