#pragma once

#include <functional>

#include "claims/types/claim.h"
#include "core/result.h"

namespace anvillead {

/// Maximum size of the body of a stored_answer, in bytes. Longer answers are not stored, because many claims share one
/// platform object of at most a megabyte.
inline constexpr std::size_t max_stored_answer_bytes = 2048;

/// Ensures that each idempotency key of an organisation is run at most once. Thread-safe. Callbacks are called on a
/// transport thread, so callers post them to their own sequence.
class iclaim_journal
{
public:
    virtual ~iclaim_journal() = default;

    /// Claims the key. The request may be dispatched only after the verdict `claimed`, and only once. Returns a ticket.
    /// If it is withdrawn before the callback is called, the callback is not called at all.
    virtual claim_ticket claim(claim_request request, std::function<void(claim_result)> callback) = 0;
    /// Checks whether the key is claimed, without claiming it. The verdict is never `claimed`.
    virtual void look_up(claim_request request, std::function<void(claim_result)> callback) = 0;
    /// Stores the answer of a dispatched request for later requests with the same key, and releases the ticket. Best
    /// effort: without a stored answer a later request gets only the record.
    virtual void complete(claim_ticket ticket, stored_answer answer) = 0;
    /// Releases the ticket of a dispatched request without storing an answer.
    virtual void release(claim_ticket ticket) = 0;
    /// Removes a claim whose request was definitely not dispatched. `not_run` may be reported only after success; after
    /// an error the claim may still be stored.
    virtual void withdraw(claim_ticket ticket, std::function<void(result<void>)> callback) = 0;
};

} // namespace anvillead
