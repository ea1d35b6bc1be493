#pragma once

#include <memory>
#include <optional>

#include "apps/gateway/engine_call.h"
#include "apps/gateway/gateway_context.h"
#include "apps/gateway/response_request.h"
#include "claims/types/claim.h"
#include "routing/request_flow.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Head of an answer that is an event stream.
inline const http_headers event_stream_headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};

/// Called when a stream failed before its first event. Returns true when it took over the exchange; may change the
/// reason otherwise. `head_sent` says that the caller has the head of the answer already.
using lost_handler = std::function<bool(error& reason, bool head_sent)>;

/// Carries out the decisions of one request_flow: grants, engine calls and the caller's stream. Everything runs on the
/// exchange's sequence.
class response_stream : public std::enable_shared_from_this<response_stream>
{
public:
    response_stream(gateway_context& context, std::shared_ptr<ihttp_exchange> exchange);
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Starts a new generation for a checked request.
    /// `view` holds the document that the request points into.
    void start(response_request request, view_ptr view);
    /// Follows a generation that already runs.
    void resume(const response_location& location, const std::string& address, sequence_number starting_after);
    /// Like resume() from the first event, for a caller that repeated its request.
    void attach(const response_location& location, const std::string& address, bool wants_stream);
    const std::shared_ptr<isequence>& sequence() const { return sequence_; }
    /// The request waits for an engine. Call on the exchange's sequence.
    bool waits_for_engine() const { return flow_ && !flow_->done() && !flow_->dispatched(); }
    /// Call before start() or attach().
    void on_lost(lost_handler handler) { on_lost_ = std::move(handler); }
    /// An earlier stream of the exchange has sent the head of the answer. Call before start() or attach().
    void continue_head(bool sent) { head_sent_ = sent; }

private:
    void prepare(bool idempotent, milliseconds deadline);
    void carry_out(flow_actions actions);
    void act(const ask_grant& action);
    void act(const cancel_grant& action);
    void act(const write_claim& action);
    void act(const withdraw_claim& action);
    void act(const dispatch_generation& action);
    void act(const attach_generation& action);
    void act(const detach_generation& action);
    void act(const cancel_generation& action);
    void act(const deliver_event& action);
    void act(const fail_request& action);
    void act(const finish_request& action);
    void act(const set_timer& action);

    void call_engine(http_call_request request, const generation_id& generation);
    void engine_event(const generation_id& generation, const stream_event& event);
    void claim_answered(const claim_result& answer);
    /// True when the exchange goes on without this stream.
    bool handed_over(error& reason);
    void release_claim();
    void on_sequence(std::function<void()> task);
    void record_token(std::int64_t before, instant now);
    void caller_drained();
    void begin_stream();
    void keep_alive();
    void caller_gone();
    void release_grant(grant_state state);
    std::string with_response_id(const stream_event& event) const;
    void close_timers();

    gateway_context& context_;
    std::shared_ptr<ihttp_exchange> exchange_;
    std::shared_ptr<isequence> sequence_;
    std::optional<request_flow> flow_;
    response_request request_;
    /// Keeps the document alive that request_ points into.
    view_ptr view_;
    request_id id_;
    response_location location_;
    std::string scheduler_;
    /// When the present grant arrived.
    instant granted_;
    /// Set from the claim until its withdrawal or the end of the request.
    std::optional<claim_ticket> ticket_;
    lost_handler on_lost_;
    std::optional<grant_id> active_grant_;
    std::shared_ptr<engine_call> call_;
    std::optional<timer_token> timer_;
    std::optional<timer_token> comment_timer_;
    instant started_{};
    instant last_token_{};
    std::shared_ptr<std::atomic<std::size_t>> open_requests_;
    bool wants_stream_ = true;
    bool head_sent_ = false;
    bool caller_present_ = true;
    /// The engine link is not read, or closed, until the caller has read what it was sent.
    bool engine_paused_ = false;
    /// The time since the last token includes a pause or a replay, so it says nothing about the engine.
    bool gap_disturbed_ = true;
};

} // namespace anvillead
