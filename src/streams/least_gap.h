#pragma once

#include <algorithm>

#include "core/types/units.h"

namespace anvillead {

/// The least gap between the events of a stream over the last one to two periods. Prompts that an engine reads, and
/// moments in which its machine is busy, only lengthen gaps, so the least one shows how fast the engine is.
class least_gap
{
public:
    using duration = std::chrono::steady_clock::duration;

    /// Gaps before there is a value.
    static constexpr int min_gaps = 4;

    void add(instant now, duration gap)
    {
        if (now - period_began_ >= period) {
            last_period_ = period_began_ == instant{} ? duration::max() : this_period_;
            this_period_ = duration::max();
            period_began_ = now;
        }
        this_period_ = std::min(this_period_, gap);
        ++gaps_;
    }
    bool known() const { return gaps_ >= min_gaps; }
    duration value() const { return std::min(last_period_, this_period_); }

private:
    /// Longer than an engine reads a prompt.
    static constexpr milliseconds period{1000};

    duration last_period_ = duration::max();
    duration this_period_ = duration::max();
    instant period_began_{};
    int gaps_ = 0;
};

} // namespace anvillead
