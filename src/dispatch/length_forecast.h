#pragma once

#include <cstdint>

#include "dispatch/types/caller_request.h"

namespace anvillead {

/// Tokens of output that memory is planned for: above the caller's estimate, which is right only at the median, and
/// never above the limit of the request.
std::int64_t planned_output(const caller_request& request);

} // namespace anvillead
