#pragma once

#include <cstddef>

#include "core/types/units.h"

namespace anvillead {

/// Parameters of prefix affinity; docs/decisions/prefix-affinity.md explains their values.
struct affinity_settings
{
    bool enabled = false;
    /// Time over which the weight of a hint falls linearly to 0. It bounds the effect of a missing eviction event.
    milliseconds hint_lifetime{30'000};
    /// Lower bound on the prompt tokens that a cached prefix saves: the gateway hashes the first 512 bytes of a prompt,
    /// at 4 bytes per token.
    tokens min_saved_tokens{128};
    /// An engine is skipped if its cost exceeds this factor times the mean cost of the candidates plus one generation.
    double load_factor = 1;
    /// Urgent requests use only engines whose cost exceeds the lowest cost by at most this many generations.
    double urgent_slack = 2;
    /// Maximum number of prefixes with hints. 32 engines with 18 requests per second each use 17,000 prefixes within
    /// `hint_lifetime`.
    std::size_t prefix_limit = 16'384;
    std::size_t engines_per_prefix = 4;
};

} // namespace anvillead
