#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/ranked_mutex.h"
#include "messages/types/messages.h"

namespace anvillead {

/// State of every grant that this gateway uses, for progress reports to schedulers.
class progress_table
{
public:
    /// `scheduler` is the link address of the scheduler that gave the grant.
    void begin(const std::string& scheduler, const grant_progress& value);
    void advance(const grant_id& id, std::int64_t output, instant now);
    /// While the gateway does not read the engine link on purpose, silence is not reported.
    void hold(const grant_id& id, bool held);
    /// Removes the grant. Returns its scheduler and last state, which the scheduler has to learn.
    std::optional<std::pair<std::string, grant_progress>> end(const grant_id& id, grant_state state, instant now);
    /// Reports by scheduler. Grants are listed in short form, but for the first report and now and then.
    std::map<std::string, progress_report> take_reports(instant now);
    /// Running grants on the given engines, for a scheduler that has just taken over.
    progress_report takeover_report(const std::vector<upstream_id>& engines, const std::string& scheduler, instant now);

private:
    struct entry
    {
        grant_progress report(instant now) const;

        std::string scheduler;
        grant_progress value;
        instant last_token;
        bool held = false;
        /// Reports until the grant is listed in full again.
        int short_reports = 0;
    };

    ranked_mutex mutex_{lock_rank::grants};
    std::map<grant_id, entry> entries_;
    std::uint64_t last_number_ = 0;
};

} // namespace anvillead
