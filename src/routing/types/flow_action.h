#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/error.h"
#include "core/types/ids.h"
#include "core/types/units.h"
#include "streams/types/stream_event.h"

namespace anvillead {

/// Ask the responsible scheduler for a grant, leaving out the engines that already failed.
struct ask_grant
{
    std::vector<upstream_id> excluded;
    /// Time left until the request is worthless; zero means no deadline.
    milliseconds remaining{0};
};

/// Give up the pending grant request or return an unused grant.
struct cancel_grant
{};

/// Record the idempotency key in the platform before dispatch.
struct write_claim
{
    upstream_id engine;
    generation_id generation;
};

/// Undo a claim whose request was not dispatched.
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

/// Follow a generation that already runs, from the event after `starting_after`. Replaces the open engine link.
struct attach_generation
{
    upstream_id engine;
    std::string address;
    generation_id generation;
    sequence_number starting_after = -1;
};

/// Close the engine link while the caller reads too slowly. The generation goes on; attach_generation follows once the
/// caller has read what it was sent.
struct detach_generation
{};

/// Tell the engine that the generation is no longer wanted.
struct cancel_generation
{
    std::string address;
    generation_id generation;
};

struct deliver_event
{
    stream_event event;
};

/// Final error answer. `delivered` is the number of output tokens that the caller received.
struct fail_request
{
    error reason;
    std::int64_t delivered = 0;
};

/// The stream is complete.
struct finish_request
{};

/// Call on_timer() at this time; replaces an earlier timer.
struct set_timer
{
    instant at;
};

using flow_action =
    std::variant<ask_grant, cancel_grant, write_claim, withdraw_claim, dispatch_generation, attach_generation,
                 detach_generation, cancel_generation, deliver_event, fail_request, finish_request, set_timer>;
using flow_actions = std::vector<flow_action>;

} // namespace anvillead
