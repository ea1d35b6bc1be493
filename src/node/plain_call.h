#pragma once

#include <memory>
#include <optional>

#include "node/crash_detector.h"
#include "node/granted_slot.h"
#include "node/node_context.h"
#include "node/request_forwarder.h"
#include "node/scoped_work.h"
#include "node/types/admitted_request.h"
#include "quarantine/suspect_trials.h"

namespace anvillead {

/// Serves one request to a service whose answer is not a stream: sends it to an upstream, retries on another one where
/// allowed, and forwards the complete response.
class plain_call : public std::enable_shared_from_this<plain_call>
{
public:
    plain_call(node_context& context, admitted_request request);
    void start();
    /// Answers with an error, for a process that has to exit.
    void abort(const std::string& reason);

private:
    /// Passes the request on to another host.
    void forward();
    bool can_forward() const;
    void on_unserved(const std::optional<error>& refusal);
    /// Serves the request over this host's own connections.
    void serve();
    /// Sends the request to an upstream, unless it is under quarantine.
    void attempt();
    void request_trial(const upstream_record& chosen);
    void request_rate(const upstream_record& chosen);
    /// Tries again a moment later, since the same request is being tried elsewhere.
    void wait_for_trial();
    void end_trial();
    void refuse_quarantined();
    void send(const upstream_record& upstream);
    /// Finds out which process of the upstream runs the request, if its answer may come without framing.
    void identify_process(const upstream_record& upstream);
    upstream_process process(const upstream_record& upstream) const { return {upstream, process_start_ms_}; }
    void on_call_end(const upstream_record& upstream, const http_call_result& end, const http_response& answer);
    /// The upstream has accepted the request and its call has ended.
    void on_accepted_call_end(const upstream_record& upstream, const http_call_result& end,
                              const http_response& answer);
    /// An answer without framing is complete only if its upstream has not crashed.
    void confirm_end(const upstream_record& upstream, const http_call_result& end, const http_response& answer);
    /// The connection was lost; retries or fails when it is known whether the upstream has crashed.
    void check_for_crash(const upstream_record& upstream, const error& reason);
    /// Retries on another upstream, or replies with `reason` when no retry is allowed.
    void retry_or_fail(error reason);
    void forward(const upstream_record& upstream, const http_response& answer);
    void reply_error(const error& reason);
    void finish();
    bool may_retry() const;
    /// Whether some upstream may have executed the request, or may still do so.
    bool may_have_run() const;
    milliseconds remaining_time() const;

    node_context& context_;
    admitted_request request_;
    scoped_work work_;
    std::shared_ptr<ihttp_call> call_;
    std::shared_ptr<request_forwarder> forwarder_;
    timer_id deadline_timer_ = 0;
    timer_id step_timer_ = 0;
    std::vector<upstream_id> excluded_;
    /// Upstreams on which another suspected request is being tried.
    std::vector<upstream_id> occupied_;
    /// This request as one that is suspected of having crashed an upstream, while it is being tried.
    std::optional<trial> trial_;
    /// When this request has waited long enough for the end of a trial; unset before the first wait.
    instant trial_deadline_{};
    granted_slot slot_;
    /// Number of upstreams that may have executed the request.
    int accepted_ = 0;
    /// Number of upstreams to which the request was sent, including those that refused it.
    int sent_ = 0;
    /// Number of upstreams that could not be reached.
    int unreachable_ = 0;
    instant sent_at_{};
    /// Start that the process at the upstream has stated while it held the connection; zero if unknown.
    std::int64_t process_start_ms_ = 0;
    /// Why the request was passed on, for the caller if no other host takes it.
    std::optional<error> forwarding_reason_;
    bool forwarded_ = false;
    /// An upstream has the request and has not answered yet.
    bool in_flight_ = false;
    /// Sent although it is under quarantine, to find out whether that is still needed.
    bool probe_ = false;
    bool done_ = false;
};

} // namespace anvillead
