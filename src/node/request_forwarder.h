#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/byte_budget.h"
#include "core/error.h"
#include "node/node_context.h"
#include "node/types/admitted_request.h"

namespace anvillead {

/// Passes a caller's request on to another host, as the caller sent it, and its answer back. For a host that has no
/// path to the upstreams of the request. The other host treats the request as that of a caller of its own, but passes
/// it on to nobody.
class request_forwarder : public std::enable_shared_from_this<request_forwarder>
{
public:
    struct hooks
    {
        /// The first bytes of an answer are about to be sent to the caller.
        std::function<void()> on_begun;
        /// The answer has been sent completely, or was broken off.
        std::function<void()> on_done;
        /// No host has run the request or will run it; with the last refusal, if a host has sent one.
        std::function<void(const std::optional<error>& refusal)> on_unserved;
        /// The request may have run, and there is no answer.
        std::function<void(const error& reason)> on_failed;
    };

    /// `may_have_run` states that an upstream of this host has had the request, so that no refusal of another host is
    /// passed on: it would say that the request has not run.
    request_forwarder(node_context& context, const admitted_request& request, bool may_have_run, hooks value);
    /// Whether there is a host that reaches upstreams.
    static bool possible(const node_context& context);
    void start();
    void cancel();
    /// The request may have reached an upstream through another host.
    bool may_have_run() const { return may_have_run_ || sent_; }

private:
    const host_report* choose_host() const;
    void send(const host_report& host);
    void on_head(int status, const http_headers& headers);
    void on_data(std::string_view data);
    void on_end(const http_call_result& end);
    void on_refusal();
    void reply();
    milliseconds remaining_time() const;

    node_context& context_;
    const admitted_request& request_;
    bool may_have_run_;
    hooks hooks_;
    std::shared_ptr<ihttp_call> call_;
    std::vector<host_id> tried_;
    std::optional<error> refusal_;
    int status_ = 0;
    http_headers headers_;
    std::string body_;
    budgeted_buffer body_buffer_;
    /// The host has said that the request has not run.
    bool refused_ = false;
    bool sent_ = false;
    bool streaming_ = false;
    bool done_ = false;
};

} // namespace anvillead
