#pragma once

#include <optional>

#include "core/error.h"
#include "core/types/ids.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Sends an answer of this system instead of an upstream's, and logs it.
void send_own_answer(ihttp_exchange& exchange, const request_id& id, const error& reason);

} // namespace anvillead
