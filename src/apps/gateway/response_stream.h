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

/// Response headers of an event stream.
inline const http_headers event_stream_headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};

/// Called when a stream fails before its first event. Returns true if the handler takes over the exchange; otherwise it
/// may change the reason. `head_sent` is true if the response head has already been sent.
using failure_handler = std::function<bool(error& reason, bool head_sent)>;

/// Executes the actions of a request_flow: grant requests, engine calls and the stream to the caller. All methods run
/// on the sequence of the exchange.
class response_stream : public std::enable_shared_from_this<response_stream>
{
public:
    response_stream(gateway_context& context, std::shared_ptr<ihttp_exchange> exchange);
    ~response_stream();
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;

    /// Starts a new generation for a validated request. `view` owns the configuration that `request` points into.
    void start(response_request request, view_ptr view);
    /// Streams the events of an existing generation.
    void resume(const response_location& location, const std::string& address, sequence_number starting_after);
    /// Like resume() from the first event, for a caller that has repeated its request.
    void attach(const response_location& location, const std::string& address, bool wants_stream);
    const std::shared_ptr<isequence>& sequence() const { return sequence_; }
    /// Returns whether the request waits for an engine. Must be called on the sequence of the exchange.
    bool waits_for_engine() const { return flow_ && !flow_->done() && !flow_->dispatched(); }
    /// Must be called before start() or attach().
    void set_failure_handler(failure_handler handler) { failure_handler_ = std::move(handler); }
    /// Sets whether an earlier stream of the exchange has sent the response head. Must be called before start() or
    /// attach().
    void set_head_sent(bool sent) { head_sent_ = sent; }

private:
    void prepare(bool idempotent, milliseconds deadline);
    void carry_out(flow_actions actions);
    void execute(const request_grant& action);
    void execute(const cancel_grant& action);
    void execute(const write_claim& action);
    void execute(const withdraw_claim& action);
    void execute(const dispatch_generation& action);
    void execute(const attach_generation& action);
    void execute(const detach_generation& action);
    void execute(const cancel_generation& action);
    void execute(const deliver_event& action);
    void execute(const fail_request& action);
    void execute(const finish_request& action);
    void execute(const set_timer& action);

    void call_engine(http_call_request request, const generation_id& generation);
    void handle_engine_event(const generation_id& generation, const stream_event& event);
    void on_claim_result(const claim_result& answer);
    /// Returns true if the failure handler has taken over the exchange from this stream.
    bool hand_over_exchange(error& reason);
    void release_claim();
    void on_sequence(std::function<void()> task);
    void record_token(std::int64_t before, instant now);
    void on_caller_buffer_empty();
    void begin_stream();
    void send_keep_alive();
    void on_caller_disconnected();
    void release_grant(grant_state state);
    std::string with_response_id(const stream_event& event) const;
    void release_resources();

    gateway_context& context_;
    std::shared_ptr<ihttp_exchange> exchange_;
    std::shared_ptr<isequence> sequence_;
    std::optional<request_flow> flow_;
    response_request request_;
    /// Keeps the configuration alive that request_ points into.
    view_ptr view_;
    request_id id_;
    response_location location_;
    std::string scheduler_;
    /// Time at which the current grant was received.
    instant granted_;
    /// Set from the claim until it is withdrawn or the request ends.
    std::optional<claim_ticket> ticket_;
    failure_handler failure_handler_;
    std::optional<grant_id> active_grant_;
    std::shared_ptr<engine_call> call_;
    std::optional<timer_id> timer_;
    std::optional<timer_id> keep_alive_timer_;
    instant started_{};
    instant last_token_{};
    std::shared_ptr<std::atomic<std::size_t>> open_requests_;
    bool wants_stream_ = true;
    bool head_sent_ = false;
    bool caller_present_ = true;
    /// Reading from the engine is paused, or its link is closed, until the caller has read the buffered data.
    bool engine_paused_ = false;
    /// The time since the last token includes a pause or a replay, so it must not be recorded as an engine's token gap.
    bool discard_next_gap_ = true;
};

} // namespace anvillead
