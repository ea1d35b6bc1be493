#pragma once

#include <cstdint>

#include "core/types/ids.h"

namespace anvillead {

/// Whether an upstream is leaving. The higher version wins; at equal versions leaving wins.
struct upstream_mark
{
    upstream_id id;
    std::uint64_t version = 0;
    bool leaving = false;
};

} // namespace anvillead
