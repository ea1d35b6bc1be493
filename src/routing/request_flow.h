#pragma once

#include <functional>
#include <optional>

#include "messages/types/messages.h"
#include "routing/token_gap_table.h"
#include "routing/types/flow_action.h"
#include "streams/stream_sequencer.h"

namespace anvillead {

/// Properties of the request that affect the flow.
struct flow_request
{
    request_id id;
    bool idempotent = true;
    /// Deadline for the first token, from the start of the request; zero for none.
    milliseconds deadline{0};
};

/// Timeouts and limits of one request.
struct flow_limits
{
    /// Time without an event after which the engine link is replaced. `flow_hooks::pace` may give a shorter timeout.
    milliseconds stall{2000};
    /// The generation is considered lost when re-attachment has failed for this long.
    milliseconds loss{8000};
    /// As `loss`, while the engine's address refuses connections: its process has exited, and the generation with it.
    milliseconds refused_loss{1000};
    /// The engine link is closed when it has not been read for this long because the caller's buffer is full.
    milliseconds detach{2000};
    /// Delay between two attempts to re-attach.
    milliseconds attach_backoff{100};
    /// Maximum number of attempts, each on a different engine.
    int attempts = 3;
};

/// Callbacks that are supplied by the owner of the flow.
struct flow_hooks
{
    /// Takes one retry from the shared budget; returns false when none is left.
    std::function<bool()> allow_retry;
    /// Returns a new unique generation id.
    std::function<generation_id()> new_generation;
    /// Returns the stall timeout and latest activity of an engine. Optional: without it `flow_limits::stall` applies.
    std::function<engine_stall_state(const upstream_id&)> pace;
};

/// How an engine call ended, as far as the flow distinguishes it.
enum class engine_call_result
{
    /// The connection could not be established, so nothing was sent.
    not_sent,
    /// The engine's address refused the connection: nothing was sent, and no process listens there.
    connection_refused,
    /// The engine rejected the request without starting it.
    refused,
    /// The engine does not know the generation.
    unknown_generation,
    /// The connection was lost; the generation may still be running.
    link_lost,
    /// The stream ended without a final event.
    missing_final_event,
    /// The response was complete but contained no event.
    empty_response,
    /// The engine has no event with the sequence number that the caller wants to resume after.
    unknown_sequence_number,
};

/// Result of a write or withdrawal by the claim journal.
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

/// State machine of one streamed request in a gateway, from the grant to the final event. Sans-I/O: each input returns
/// the actions that the owner must carry out in order.
///
/// Invariants: the caller gets the events of a single generation, each once and in order; an idempotent request moves
/// to another engine only while no output token was delivered; a non-idempotent request is dispatched at most once,
/// after its claim is confirmed.
class request_flow
{
public:
    request_flow(flow_request request, flow_limits limits, flow_hooks hooks);

    flow_actions start(instant now);
    /// Attaches to a generation that was started by another gateway or over an earlier connection.
    flow_actions resume(instant now, upstream_id engine, std::string address, generation_id generation,
                        sequence_number starting_after);
    flow_actions on_grant(instant now, const grant& value);
    flow_actions on_refusal(instant now, const refusal& value);
    flow_actions on_claim(instant now, const claim_answer& answer);
    flow_actions on_event(instant now, const generation_id& generation, const stream_event& event);
    flow_actions on_engine_call_ended(instant now, const generation_id& generation, engine_call_result end);
    /// `engine_paused` is true while the engine link is not read because the caller's buffer is full.
    flow_actions on_timer(instant now, bool engine_paused);
    /// The caller's buffer is empty again.
    flow_actions on_caller_drained(instant now);
    /// The caller has disconnected. A dispatched generation continues; a request that waits for a grant ends.
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
        /// The engine link is closed until the caller's buffer is empty.
        detached,
        withdrawing,
        done
    };

    flow_actions dispatch(instant now);
    /// True while the request may start over on another engine: it is idempotent and not resumed, no output token has
    /// arrived, and the caller is connected.
    bool can_change_engine() const;
    /// Takes one attempt and one retry from the budget; returns false when either is used up.
    bool try_take_retry();
    flow_actions change_engine(instant now);
    flow_actions request_new_grant(instant now);
    void release_engine(flow_actions& actions);
    flow_actions attach(instant now);
    flow_actions reattach(instant now, engine_call_result end);
    flow_actions on_silence(instant now);
    flow_actions on_generation_lost(instant now, const std::string& error_text);
    flow_actions on_dispatch_rejected(instant now);
    milliseconds silence_timeout() const;
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
    instant link_lost_since_{};
    instant attach_at_{};
    std::optional<instant> paused_since_;
    /// Events before the first token, not delivered while the request can still move to another engine.
    std::vector<stream_event> buffered_events_;
    std::int64_t output_tokens_ = 0;
    int attempts_ = 0;
    /// Links to the engine that were opened since the last event.
    int attachments_ = 0;
    bool dispatched_ = false;
    bool may_have_run_ = false;
    bool attach_pending_ = false;
    bool resumed_ = false;
    bool caller_connected_ = true;
    error withdrawn_reason_;
};

} // namespace anvillead
