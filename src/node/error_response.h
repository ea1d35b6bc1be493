#pragma once

#include <optional>

#include "core/error.h"
#include "core/types/ids.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Sends an error response produced by this host instead of an upstream's response, and logs it.
void send_error_response(ihttp_exchange& exchange, const request_id& id, const error& reason);

/// Why a host that shuts down refuses a request whose answer might not end before the process.
error refusal_of_leaving_host();

} // namespace anvillead
