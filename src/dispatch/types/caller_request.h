#pragma once

#include <optional>
#include <string>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// What a caller's request says about itself, besides method, target and body.
struct caller_request
{
    /// Chosen by the caller; each of its attempts has its own.
    request_id id;
    /// Name of the host that the caller addressed.
    std::string host;
    /// Target without the query.
    std::string path;
    std::string api_key;
    /// Time that the caller waits, counted from the arrival of the request.
    std::optional<milliseconds> patience;
    std::int64_t prompt_tokens = 0;
    /// The most tokens that the answer may have; 0 when it is not a generation.
    std::int64_t output_limit = 0;
    /// The caller's estimate of the length of the answer in tokens: right at the median, often far off.
    std::optional<std::int64_t> expected_output;
};

} // namespace anvillead
