#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/types/ids.h"

namespace anvillead {

/// Names one accepted claim inside this process until it is completed or withdrawn.
using claim_ticket = std::uint64_t;

/// A non-idempotent request that wants to run.
struct claim_request
{
    organisation_id organisation;
    /// The Idempotency-Key header as received.
    std::string key;
    /// Digest of everything that must be equal in a repetition of the request.
    std::string body_hash;
    /// Where the run can be found later: a response id, or the name of a service's upstream.
    std::string record;
};

/// The answer of a plain service, kept for repetitions of the request.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// What an earlier arrival of a key left behind.
struct claim_record
{
    std::string record;
    /// Absent while the request runs, and when the answer exceeded stored_answer_bytes.
    std::optional<stored_answer> answer;
};

/// Answer to claim().
struct claim_result
{
    enum class verdict
    {
        /// The caller of claim() may dispatch the request once; `ticket` names the claim.
        claimed,
        /// look_up() only: the key is not claimed.
        free,
        /// The key was claimed before with the same body; `existing` says where the run is.
        taken,
        /// The request must not be dispatched; `reason` is the error for the caller, with an accurate outcome.
        refused
    };

    verdict value = verdict::refused;
    claim_ticket ticket = 0;
    claim_record existing;
    error reason;
};

} // namespace anvillead
