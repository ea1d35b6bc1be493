#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"
#include "core/result.h"
#include "transport/http_types.h"

namespace anvillead {

/// A validated `POST /v1/responses` request.
struct response_request
{
    const organisation* owner = nullptr;
    const workload* work = nullptr;
    model_name model;
    service_name target;
    nlohmann::json body;
    bool stream = false;
    std::string idempotency_key;
    tokens input;
    tokens output_limit;
    std::uint64_t prefix_hash = 0;
};

/// Returns the organisation of the bearer key, or `unauthorized` if there is none.
result<const organisation*> authenticate_caller(const http_request& request, const document& configuration);
/// Validates body, model, workload and limits. The pointers in the result refer to `configuration`.
result<response_request> parse_response_request(const http_request& request, const document& configuration);
/// Returns the higher of the query parameter starting_after and the header Last-Event-ID, or -1 if there is neither.
result<sequence_number> parse_starting_after(const http_request& request);

} // namespace anvillead
