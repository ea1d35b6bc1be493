#pragma once

#include <deque>

#include "admission/types/engine_load.h"

namespace anvillead {

/// Memory use of an engine that this scheduler's grants do not explain: the lagging report minus the own grants at the
/// time of the report.
class unknown_load
{
public:
    /// Records the own use, in tokens and generations, so that later reports can be compared with it.
    void record(instant now, double used, int running);
    void report(instant now, const engine_load& value);
    /// Generations that recent reports show beyond the own ones; negative when own ones are missing from the engine.
    int difference() const;
    bool reported() const { return reported_; }
    /// Time at which the newest report was taken.
    instant taken() const { return taken_; }
    /// Unexplained tokens plus a margin that grows with the report's age.
    double tokens_at(instant now, double capacity) const;

private:
    struct sample
    {
        instant at;
        double used = 0;
        int running = 0;
    };

    std::deque<sample> history_;
    std::deque<sample> unexplained_;
    instant taken_{};
    bool reported_ = false;
};

} // namespace anvillead
