#pragma once

#include <cstdint>

#include "core/types/units.h"

namespace anvillead {

/// A change of an engine's prefix cache, as its load report lists it: late, and some are missing.
struct cache_event
{
    std::uint64_t prefix = 0;
    /// False when the prefix was stored.
    bool evicted = false;
    /// Age of the event when the load report was taken.
    milliseconds age{0};
};

} // namespace anvillead
