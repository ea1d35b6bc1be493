#pragma once

#include <optional>

#include "node/quarantine_service.h"
#include "transport/http_types.h"

namespace anvillead {

/// Answer to an operator's request.
struct quarantine_answer
{
    int status = 0;
    /// JSON.
    std::string body;
};

/// Handles the requests of operators: `GET /quarantine` lists the entries; `DELETE /quarantine/TRAIT`
/// lifts all entries with this trait, in the form in which they are listed, on all hosts. Returns nothing for a request
/// with another path.
std::optional<quarantine_answer> answer_quarantine_request(quarantine_service& quarantine, const http_request& request);

} // namespace anvillead
