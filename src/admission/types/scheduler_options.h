#pragma once

#include <string>

#include "admission/placement.h"

namespace anvillead {

struct scheduler_options
{
    /// Makes grant ids of two processes differ.
    std::string process;
    /// Seed of the jitter in Retry-After.
    std::uint64_t seed = 1;
    /// Waiting requests of one engine group.
    std::size_t queue_limit = 10'000;
    /// Longest time in the queue per class for requests without an earlier deadline.
    std::array<milliseconds, work_class_names.size()> longest_wait = {milliseconds(5'000), milliseconds(30'000),
                                                                      milliseconds(120'000)};
    /// A grant without progress after this time is given up.
    milliseconds acknowledge_within{3'000};
    /// Longest cautious admission after a takeover.
    milliseconds takeover_wait{3'000};
    /// Requests are refused after a group has had no engine for this long. One load poll takes up to 1.2 s with its
    /// time-out, so that a single missed one refuses nothing.
    milliseconds absence{2'000};
    placement_settings placement;
};

/// Figures for metrics.
struct scheduler_figures
{
    std::array<std::size_t, work_class_names.size()> waiting{};
    std::size_t grants = 0;
    std::size_t orphaned = 0;
    std::size_t engines = 0;
    std::size_t usable_engines = 0;
    std::size_t short_engines = 0;
    std::size_t urgent_slots = 0;
};

} // namespace anvillead
