#pragma once

#include <cstdint>

#include "dispatch/types/caller_request.h"

namespace anvillead {

/// Returns the number of output tokens to reserve engine memory for. It exceeds the caller's estimate, which is only a
/// median, but never the output limit of the request.
std::int64_t planned_output(const caller_request& request);

} // namespace anvillead
