#pragma once

#include <deque>

#include "admission/types/engine_load.h"

namespace anvillead {

/// Load of an engine that does not come from this scheduler's grants: the engine's report, which arrives late, minus
/// the grants at the time of the report.
class external_load
{
public:
    /// Records the use by this scheduler's grants, in tokens and generations, for comparison with later reports.
    void record(instant now, double used, int running);
    void report(instant now, const engine_load& value);
    /// Running generations in recent reports beyond this scheduler's grants; negative if the engine no longer runs some
    /// of the grants.
    int running_difference() const;
    bool reported() const { return reported_; }
    /// Time at which the newest report was taken.
    instant taken_at() const { return taken_at_; }
    /// Memory used by others in tokens, plus a margin that grows with the age of the report.
    double tokens_at(instant now, double capacity) const;

private:
    struct sample
    {
        instant at;
        double used = 0;
        int running = 0;
    };

    std::deque<sample> history_;
    std::deque<sample> external_history_;
    instant taken_at_{};
    bool reported_ = false;
};

} // namespace anvillead
