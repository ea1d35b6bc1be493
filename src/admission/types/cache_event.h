#pragma once

#include <cstdint>

#include "core/types/units.h"

namespace anvillead {

/// A change of an engine's prefix cache, as listed in its load report. Events arrive late and some are missing.
struct cache_event
{
    std::uint64_t prefix = 0;
    /// True if the prefix was evicted, false if it was stored.
    bool evicted = false;
    /// Age of the event when the load report was taken.
    milliseconds age{0};
};

} // namespace anvillead
