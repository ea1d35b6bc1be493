#pragma once

#include <cstddef>

#include "core/types/units.h"

namespace anvillead {

/// Numbers that shape prefix affinity; docs/decisions/prefix-affinity.md has the reasons.
struct affinity_settings
{
    bool enabled = false;
    /// A hint loses its weight evenly over this time and is then dropped, so that a missing eviction event matters for
    /// no longer.
    milliseconds hint_lifetime{30'000};
    /// Prompt tokens that a held prefix saves at least: the gateway hashes the first 512 bytes, 4 bytes a token.
    tokens assured{128};
    /// An engine whose cost is more than this times the mean cost of the candidates, plus one generation, is passed
    /// over.
    double load_factor = 1;
    /// Urgent requests stay on engines whose cost is at most this many generations above the smallest.
    double urgent_slack = 2;
    /// Prefixes with hints: 32 engines with 18 requests per second each name 17,000 prefixes in the life of a hint.
    std::size_t prefix_limit = 16'384;
    std::size_t engines_per_prefix = 4;
};

} // namespace anvillead
