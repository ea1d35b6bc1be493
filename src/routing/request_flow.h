#pragma once

#include <functional>
#include <optional>

#include "messages/types/messages.h"
#include "routing/gap_table.h"
#include "routing/types/flow_action.h"
#include "streams/stream_sequencer.h"

namespace anvillead {

/// What the flow needs to know about the request.
struct flow_request
{
    request_id id;
    bool idempotent = true;
    /// Zero means no deadline for the first token.
    milliseconds deadline{0};
};

/// Times of one request's life.
struct flow_limits
{
    /// Longest silence before the engine link is replaced; an engine's own pace gives a shorter bound.
    milliseconds stall{2000};
    /// Without a successful re-attachment for this long, the generation counts as lost.
    milliseconds loss{8000};
    /// The same while the engine's address refuses connections: its process has ended, and the generation with it.
    milliseconds refused_loss{1000};
    /// The engine link is closed after a caller has blocked it for this long.
    milliseconds detach{2000};
    milliseconds attach_backoff{100};
    int attempts = 3;
};

/// Behaviour that the owner of the flow decides.
struct flow_hooks
{
    /// Takes one retry from the shared budget; false when it is spent.
    std::function<bool()> allow_retry;
    /// A generation id that no other request uses.
    std::function<generation_id()> new_generation;
    /// Recent pace of an engine; without it `flow_limits::stall` applies.
    std::function<engine_pace(const upstream_id&)> pace;
};

/// How an engine call ended, as far as it matters for the request.
enum class engine_end
{
    /// No connection was made: nothing was sent.
    not_sent,
    /// The engine's address refused the connection: nothing was sent and no process listens there.
    connection_refused,
    /// The engine refused the request without starting it.
    refused,
    /// The engine does not know the generation.
    unknown_generation,
    /// The link broke; the generation may be running.
    link_lost,
    /// The stream ended without a final event.
    ended_early,
    /// The stream ended in order without any event.
    ended_empty,
    /// The engine has no event with the number that the caller wants to continue from.
    unknown_number,
};

/// Answer of the claim journal.
struct claim_answer
{
    enum class verdict
    {
        claimed,
        withdrawn,
        taken,
        unavailable
    };

    verdict value = verdict::claimed;
    error reason;
};

/// Decisions of a gateway about one streamed request, from grant to final event. Sans-I/O: each input returns the
/// actions that the caller must carry out in order.
///
/// Rules: events of one generation only, each once and in order; an idempotent request moves to another engine only
/// while no output token was delivered; a non-idempotent one is dispatched once, after its claim is confirmed.
class request_flow
{
public:
    request_flow(flow_request request, flow_limits limits, flow_hooks hooks);

    flow_actions start(instant now);
    /// Continues a generation that another gateway or an earlier connection started.
    flow_actions resume(instant now, upstream_id engine, std::string address, generation_id generation,
                        sequence_number starting_after);
    flow_actions on_grant(instant now, const grant& value);
    flow_actions on_refusal(instant now, const refusal& value);
    flow_actions on_claim(instant now, const claim_answer& answer);
    flow_actions on_event(instant now, const generation_id& generation, const stream_event& event);
    flow_actions on_engine_end(instant now, const generation_id& generation, engine_end end);
    /// `engine_paused` is true while the caller's buffer is full and the engine link is deliberately not read.
    flow_actions on_timer(instant now, bool engine_paused);
    /// The caller has read everything that it was sent.
    flow_actions on_caller_drained(instant now);
    /// The caller has gone. The generation goes on; a request that was not dispatched ends.
    flow_actions on_caller_gone(instant now);
    flow_actions on_cancel(instant now);

    bool done() const { return state_ == state::done; }
    bool dispatched() const { return dispatched_; }
    std::int64_t output_tokens() const { return output_tokens_; }
    const std::optional<grant>& current_grant() const { return grant_; }
    const stream_sequencer& sequencer() const { return sequencer_; }

private:
    enum class state
    {
        waiting_grant,
        claiming,
        streaming,
        attaching,
        /// The engine link is closed until the caller has read what it was sent.
        detached,
        withdrawing,
        done
    };

    flow_actions dispatch(instant now);
    /// No output token was delivered, so another engine may start afresh.
    bool movable() const;
    /// Takes one attempt and one retry of the budget.
    bool may_retry();
    flow_actions move_elsewhere(instant now);
    flow_actions ask_again(instant now);
    void leave_engine(flow_actions& actions);
    flow_actions attach(instant now);
    flow_actions reattach(instant now, engine_end end);
    flow_actions silent(instant now);
    flow_actions lose(instant now, const std::string& why);
    flow_actions not_taken(instant now);
    milliseconds silence_bound() const;
    milliseconds remaining(instant now) const;
    flow_actions fail(error reason);
    flow_actions deliver(instant now, const stream_event& event);
    set_timer next_timer(instant now) const;

    flow_request request_;
    flow_limits limits_;
    flow_hooks hooks_;
    state state_ = state::waiting_grant;
    stream_sequencer sequencer_;
    std::optional<grant> grant_;
    std::vector<upstream_id> excluded_;
    instant started_{};
    instant last_event_{};
    instant lost_since_{};
    instant attach_at_{};
    std::optional<instant> paused_since_;
    /// Events before the first token, kept back while the request can still move to another engine.
    std::vector<stream_event> held_;
    std::int64_t output_tokens_ = 0;
    int attempts_ = 0;
    /// Links opened since the last event.
    int attachments_ = 0;
    bool dispatched_ = false;
    bool may_have_run_ = false;
    bool attach_pending_ = false;
    bool resumed_ = false;
    bool caller_present_ = true;
    error withdrawn_reason_;
};

} // namespace anvillead
