#pragma once

#include <functional>

#include "claims/types/claim.h"
#include "core/result.h"

namespace anvillead {

/// Longest body of a stored_answer, in bytes. Longer answers are not kept: many claims share one platform object of at
/// most a megabyte.
inline constexpr std::size_t stored_answer_bytes = 2048;

/// Lets each idempotency key of an organisation run at most once. Thread-safe; callbacks run on a transport thread, so
/// callers post them to their own sequence.
class iclaim_journal
{
public:
    virtual ~iclaim_journal() = default;

    /// Records the key. Dispatch may follow only after the verdict `claimed`, and only once. Returns the ticket, which
    /// may be withdrawn before the callback was called; then the callback is not called at all.
    virtual claim_ticket claim(claim_request request, std::function<void(claim_result)> callback) = 0;
    /// Reads whether the key was claimed, without claiming it. The verdict is never `claimed`.
    virtual void look_up(claim_request request, std::function<void(claim_result)> callback) = 0;
    /// Keeps the answer of a dispatched request for later arrivals of its key and releases the ticket. Best effort:
    /// without a stored answer a later arrival gets the record alone.
    virtual void complete(claim_ticket ticket, stored_answer answer) = 0;
    /// Releases the ticket of a dispatched request without storing an answer.
    virtual void release(claim_ticket ticket) = 0;
    /// Undoes a claim whose request was certainly not dispatched. `not_run` may be said only after success; an error
    /// means that the claim may still stand.
    virtual void withdraw(claim_ticket ticket, std::function<void(result<void>)> callback) = 0;
};

} // namespace anvillead
