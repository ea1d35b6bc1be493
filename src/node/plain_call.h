#pragma once

#include <memory>

#include "node/node_context.h"
#include "node/types/admitted_request.h"
#include "node/work_claim.h"

namespace anvillead {

/// One request to a plain service: sent to an upstream, repeated elsewhere where that is allowed, answered as a whole.
class plain_call : public std::enable_shared_from_this<plain_call>
{
public:
    plain_call(node_context& context, admitted_request request);
    void start();

private:
    void attempt();
    void send(const upstream_record& upstream);
    void ended(const upstream_record& upstream, const http_call_end& end, const http_answer& answer);
    /// Sends the request to another upstream, or answers `reason` when that is not allowed.
    void repeat_or_fail(error reason);
    void forward(const http_answer& answer);
    void answer_error(const error& reason);
    void finish();
    bool may_send_again() const;
    milliseconds left() const;

    node_context& context_;
    admitted_request request_;
    work_claim work_;
    std::shared_ptr<ihttp_call> call_;
    timer_token deadline_timer_ = 0;
    std::vector<upstream_id> excluded_;
    /// Upstreams that may have run the request.
    int accepted_ = 0;
    /// Upstreams to which the request was sent, those that refused it included.
    int sent_ = 0;
    bool done_ = false;
};

} // namespace anvillead
