#pragma once

#include <memory>
#include <optional>

#include "apps/gateway/gateway_context.h"
#include "claims/types/claim.h"
#include "transport/ihttp_server.h"

namespace anvillead {

class service_proxy;

/// A validated call to a plain service.
struct service_request
{
    http_request call;
    organisation_id organisation;
    service_name target;
    /// Path and query of the upstream request.
    std::string path;
    /// The call may be repeated after a failure.
    bool idempotent = false;
    milliseconds timeout{0};
};

/// Handles one call to a plain service: claims its idempotency key, tries upstreams and streams the answer to the
/// caller. All methods run on the sequence of the exchange.
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
    /// Chooses the next upstream. If there is none, sends an error to the caller and returns false.
    bool choose();
    void claim_key();
    void on_claim_result(const claim_result& result);
    void send();
    http_call_request upstream_request() const;
    void handle_head(int status, const http_headers& headers);
    void handle_data(std::string_view bytes);
    void handle_end(const http_call_result& end);
    void attempt_failed(const http_call_result& end);
    bool take_retry(bool sent);
    void close_claim(bool complete);
    void fail(error reason);
    void on_caller_disconnected();
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
    /// At least one attempt may have reached an upstream, whatever error the call ends with.
    bool may_have_run_ = false;
    bool retry_elsewhere_ = false;
    bool caller_present_ = true;
    /// The answer exceeds the size limit for answers stored with a claim.
    bool too_long_to_store_ = false;
    bool paused_ = false;
};

} // namespace anvillead
