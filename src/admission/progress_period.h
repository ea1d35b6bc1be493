#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types/units.h"

namespace anvillead {

/// Rate at which a gateway reports the progress of its running grants to their schedulers.
struct progress_rate
{
    /// Minimum time between two reports; also the maximum delay until a new grant is first reported.
    milliseconds shortest{100};
    milliseconds longest{500};
    /// Target number of entries per second; with many running grants it lengthens the time between two reports.
    std::size_t entries_per_second = 400;
};

/// Time between two progress reports with `grants` running grants each.
inline milliseconds progress_period(std::size_t grants, const progress_rate& rate)
{
    constexpr std::size_t ms_per_second = 1000;
    const milliseconds wanted(static_cast<std::int64_t>(grants * ms_per_second / rate.entries_per_second));
    return std::clamp(wanted, rate.shortest, std::max(rate.shortest, rate.longest));
}

} // namespace anvillead
