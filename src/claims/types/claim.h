#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/types/ids.h"

namespace anvillead {

/// Identifies a claim inside this process until it is completed, released or withdrawn.
using claim_ticket = std::uint64_t;

/// Claim of the idempotency key of a non-idempotent request.
struct claim_request
{
    organisation_id organisation;
    /// The Idempotency-Key header as received.
    std::string key;
    /// Digest of everything that must be identical in a repetition of the request.
    std::string body_hash;
    /// Location of the run for later requests: a response id, or the name of a service's upstream.
    std::string record;
};

/// The answer of a plain service, stored for repetitions of the request.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

/// What is stored for a claimed key.
struct claim_record
{
    std::string record;
    /// Absent while the request runs and when the answer was larger than max_stored_answer_bytes.
    std::optional<stored_answer> answer;
};

/// Result of claim() or look_up().
struct claim_result
{
    enum class verdict
    {
        /// The caller of claim() may dispatch the request once; `ticket` identifies the claim.
        claimed,
        /// look_up() only: the key is not claimed.
        free,
        /// The key was already claimed with the same body; `existing` locates the run.
        taken,
        /// The request must not be dispatched; `reason` is the error for the caller, and its outcome says whether an
        /// earlier request with the key may have run.
        refused
    };

    verdict value = verdict::refused;
    claim_ticket ticket = 0;
    claim_record existing;
    error reason;
};

} // namespace anvillead
