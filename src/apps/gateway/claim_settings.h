#pragma once

#include "claims/bound_key_table.h"
#include "claims/claim_pruner.h"
#include "claims/request_registry.h"
#include "claims/types/claim_limits.h"
#include "core/field_reader.h"

namespace anvillead {

/// Bounds of a gateway's work with idempotency keys.
struct claim_settings
{
    claim_limits journal;
    bound_key_limits bound_keys;
    registry_limits registry;
    pruning_limits pruning;
    /// An idempotent request runs when no gateway has answered a registry lookup in this time.
    milliseconds registry_timeout{100};
    /// Open registry lookups; further requests run without one.
    std::size_t registry_lookups = 1000;
    /// One platform call of the journal.
    milliseconds platform_timeout{500};
};

claim_settings read_claim_settings(field_reader& reader);

} // namespace anvillead
