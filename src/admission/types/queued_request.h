#pragma once

#include "admission/types/scheduler_action.h"

namespace anvillead {

/// A request that waits for a grant.
struct queued_request
{
    gateway_identity gateway;
    grant_request request;
    instant queued_at;
    /// Time at which the request is refused with `expiry_error`.
    instant expires_at;
    error_kind expiry_error = error_kind::overloaded;
    /// Output tokens predicted by the length model on arrival, divided by the number of schedulers asked.
    double expected_tokens = 0;
};

} // namespace anvillead
