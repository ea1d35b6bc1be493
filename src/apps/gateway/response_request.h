#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"
#include "core/result.h"
#include "transport/http_types.h"

namespace anvillead {

/// A checked `POST /v1/responses`.
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

/// Finds the organisation of the bearer key; `unauthorized` when there is none.
result<const organisation*> authenticate_caller(const http_request& request, const document& configuration);
/// Checks body, model, workload and limits. The pointers point into `configuration`.
result<response_request> parse_response_request(const http_request& request, const document& configuration);
/// Reads starting_after from the query and Last-Event-ID; the higher one, or -1 when there is neither.
result<sequence_number> parse_starting_after(const http_request& request);

} // namespace anvillead
