#pragma once

#include <string>

#include "admission/placement.h"

namespace anvillead {

struct scheduler_options
{
    /// Prefix of grant ids, which keeps them unique across scheduler processes.
    std::string process;
    /// Seed of the jitter in Retry-After.
    std::uint64_t seed = 1;
    /// Maximum number of queued requests per engine group.
    std::size_t queue_limit = 10'000;
    /// Maximum time in the queue per work class, for requests without an earlier deadline.
    std::array<milliseconds, work_class_names.size()> max_wait = {milliseconds(5'000), milliseconds(30'000),
                                                                  milliseconds(120'000)};
    /// A grant is released if no progress is reported for it within this time.
    milliseconds acknowledgement_timeout{3'000};
    /// Maximum duration of reduced admission after a takeover.
    milliseconds takeover_timeout{3'000};
    /// Requests are refused once a group has had no available engine for this time. One load poll takes up to 1.2 s
    /// including its timeout, so a single missed poll causes no refusals.
    milliseconds outage_timeout{2'000};
    placement_settings placement;
};

/// Values of the scheduler's metrics.
struct scheduler_statistics
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
