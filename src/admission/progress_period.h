#pragma once

#include <algorithm>
#include <cstddef>

#include "core/types/units.h"

namespace anvillead {

/// How often a gateway lists its running grants to their schedulers.
struct progress_rate
{
    /// Shortest time between two lists; also the delay within which a new grant is listed first.
    milliseconds shortest{100};
    milliseconds longest{500};
    /// Grants listed a second, which lengthens the time between two lists when many are running.
    std::size_t entries_per_second = 400;
};

/// Time from one list of `grants` running grants to the next.
inline milliseconds progress_period(std::size_t grants, const progress_rate& rate)
{
    constexpr std::size_t ms_per_second = 1000;
    const milliseconds wanted(static_cast<std::int64_t>(grants * ms_per_second / rate.entries_per_second));
    return std::clamp(wanted, rate.shortest, std::max(rate.shortest, rate.longest));
}

} // namespace anvillead
