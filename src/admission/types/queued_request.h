#pragma once

#include "admission/types/scheduler_action.h"

namespace anvillead {

/// A request that waits for a grant.
struct queued_request
{
    gateway_identity gateway;
    grant_request request;
    instant since;
    /// At this time the request gets a refusal of this kind.
    instant expires;
    error_kind expiry = error_kind::overloaded;
    /// Output tokens that the length model expected on arrival.
    double expected = 0;
};

} // namespace anvillead
