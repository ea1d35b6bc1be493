#pragma once

#include <memory>
#include <optional>

#include "apps/gateway/gateway_context.h"
#include "claims/types/claim.h"
#include "transport/ihttp_server.h"

namespace anvillead {

class service_proxy;

/// A checked call to a plain service.
struct service_request
{
    http_request call;
    organisation_id organisation;
    service_name target;
    /// Path and query for the upstream.
    std::string path;
    /// May be sent again after a failure.
    bool idempotent = false;
    milliseconds timeout{0};
};

/// One caller's call to a plain service: claim, attempts on upstreams, and the answer streamed through. Everything runs
/// on the exchange's sequence.
class service_call : public std::enable_shared_from_this<service_call>
{
public:
    service_call(gateway_context& context, service_proxy& proxy, std::shared_ptr<ihttp_exchange> exchange,
                 service_request request);
    ~service_call();
    service_call(const service_call&) = delete;
    service_call& operator=(const service_call&) = delete;

    void start();

private:
    /// Chooses the next upstream; false after the final error was sent because there is none.
    bool choose();
    void claim();
    void claimed(const claim_result& result);
    void send();
    http_call_request upstream_request() const;
    void head(int status, const http_headers& headers);
    void data(std::string_view bytes);
    void ended(const http_call_end& end);
    void attempt_failed(const http_call_end& end);
    bool may_retry(bool sent);
    void close_claim(bool complete);
    void fail(error reason);
    void caller_gone();
    milliseconds remaining() const;

    gateway_context& context_;
    service_proxy& proxy_;
    std::shared_ptr<ihttp_exchange> exchange_;
    std::shared_ptr<isequence> sequence_;
    service_request request_;
    std::shared_ptr<ihttp_call> call_;
    std::optional<upstream> chosen_;
    std::vector<upstream_id> tried_;
    std::optional<claim_ticket> ticket_;
    stored_answer stored_;
    std::shared_ptr<std::atomic<std::size_t>> open_requests_;
    instant started_{};
    int attempts_ = 0;
    bool head_sent_ = false;
    bool retry_elsewhere_ = false;
    bool caller_present_ = true;
    /// The answer is too long to be kept with its claim.
    bool too_long_to_store_ = false;
    bool paused_ = false;
};

} // namespace anvillead
