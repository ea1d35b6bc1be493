#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Properties of a caller's request, other than method, target and body.
struct caller_request
{
    /// Chosen by the caller; each retry by the caller has a new one.
    request_id id;
    /// Host name that the caller addressed.
    std::string host;
    /// Request target without the query string.
    std::string path;
    std::string api_key;
    /// How long the caller waits, counted from the arrival of the request.
    std::optional<milliseconds> patience;
    std::int64_t prompt_tokens = 0;
    /// Maximum number of tokens in the answer; 0 when the request is not a generation.
    std::int64_t output_limit = 0;
    /// The caller's estimate of the answer length in tokens. It matches the median, but single answers often differ
    /// widely.
    std::optional<std::int64_t> expected_output;
    /// Parts of the prompt in order. Requests share all but the last one, which belongs to the request or its session.
    std::vector<prompt_part_id> prompt_parts;
};

} // namespace anvillead
