#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/types/ids.h"
#include "core/types/units.h"
#include "streams/types/stream_event.h"

namespace anvillead {

/// Request a grant from the schedulers of the service, excluding the engines that already failed.
struct request_grant
{
    std::vector<upstream_id> excluded;
    /// Time left until the request's deadline; zero means no deadline.
    milliseconds remaining{0};
};

/// Withdraw the pending grant request or return the grant.
struct cancel_grant
{};

/// Write the claim of the idempotency key to the platform before dispatch.
struct write_claim
{
    upstream_id engine;
    generation_id generation;
};

/// Withdraw the claim of a request that was not dispatched.
struct withdraw_claim
{};

/// Start the generation on the engine.
struct dispatch_generation
{
    upstream_id engine;
    std::string address;
    generation_id generation;
    int priority = 0;
};

/// Attach to a running generation, from the event after `starting_after`. Replaces the open engine link.
struct attach_generation
{
    upstream_id engine;
    std::string address;
    generation_id generation;
    sequence_number starting_after = -1;
};

/// Close the engine link because the caller reads too slowly. The generation continues; attach_generation follows once
/// the caller's buffer is empty.
struct detach_generation
{};

/// Tell the engine to cancel the generation.
struct cancel_generation
{
    std::string address;
    generation_id generation;
};

/// Send the event to the caller.
struct deliver_event
{
    stream_event event;
};

/// End the request with an error. `delivered` is the number of output tokens that were delivered to the caller.
struct fail_request
{
    error reason;
    std::int64_t delivered = 0;
};

/// End the stream successfully.
struct finish_request
{};

/// Call on_timer() at this time; replaces an earlier timer.
struct set_timer
{
    instant at;
};

using flow_action =
    std::variant<request_grant, cancel_grant, write_claim, withdraw_claim, dispatch_generation, attach_generation,
                 detach_generation, cancel_generation, deliver_event, fail_request, finish_request, set_timer>;
using flow_actions = std::vector<flow_action>;

} // namespace anvillead
