#pragma once

#include "claims/bound_key_table.h"
#include "claims/claim_pruner.h"
#include "claims/request_registry.h"
#include "claims/types/claim_limits.h"
#include "core/field_reader.h"

namespace anvillead {

/// Limits for the handling of idempotency keys in a gateway.
struct claim_settings
{
    claim_limits journal;
    bound_key_limits bound_keys;
    registry_limits registry;
    pruning_limits pruning;
    /// Timeout of a registry lookup, after which an idempotent request runs.
    milliseconds registry_timeout{100};
    /// Maximum number of concurrent registry lookups; further requests run without a lookup.
    std::size_t registry_lookups = 1000;
    /// Timeout of one platform call of the journal.
    milliseconds platform_timeout{500};
};

claim_settings read_claim_settings(field_reader& reader);

} // namespace anvillead
