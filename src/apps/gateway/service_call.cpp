#include "apps/gateway/service_call.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "apps/gateway/service_proxy.h"
#include "claims/iclaim_journal.h"
#include "core/crypto.h"
#include "core/log.h"

namespace anvillead {

namespace {

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds idle_timeout{30'000};
constexpr milliseconds retry_hint{1000};
constexpr int http_bad_gateway = 502;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

// The Authorization header is excluded: a service receives the organisation, never the bearer key.
constexpr std::array<std::string_view, 12> request_headers = {
    "Accept",        "Accept-Encoding", "Accept-Language", "Content-Encoding",  "Content-Type", "Idempotency-Key",
    "If-None-Match", "If-Match",        "If-Range",        "If-Modified-Since", "Range",        "Traceparent"};
// Hop-by-hop headers, which are not forwarded.
constexpr std::array<std::string_view, 8> hop_by_hop_headers = {"Connection",        "Keep-Alive", "Proxy-Authenticate",
                                                                "Proxy-Connection",  "TE",         "Trailer",
                                                                "Transfer-Encoding", "Upgrade"};

bool is_hop_by_hop_header(const std::string& name)
{
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), [&](std::string_view it) {
        return boost::beast::iequals({it.data(), it.size()}, name);
    });
}

bool is_gateway_error(int status)
{
    return status == http_bad_gateway || status == http_unavailable || status == http_gateway_timeout;
}

} // namespace

service_call::service_call(gateway_context& context, service_proxy& proxy, std::shared_ptr<ihttp_exchange> exchange,
                           service_request request)
    : context_(context), proxy_(proxy), exchange_(std::move(exchange)), sequence_(exchange_->sequence()),
      request_(std::move(request)), open_requests_(context_.open_requests), started_(context_.pool.timers().now())
{
    ++*open_requests_;
}

service_call::~service_call()
{
    --*open_requests_;
}

void service_call::start()
{
    exchange_->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnected();
        }
    });
    exchange_->on_drained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && std::exchange(self->paused_, false) && self->call_) {
            self->call_->resume();
        }
    });
    if (!choose()) {
        return;
    }
    if (!request_.idempotent && !request_.call.header("Idempotency-Key").empty()) {
        claim_key();
        return;
    }
    send();
}

bool service_call::choose()
{
    chosen_ = proxy_.choose(request_.target, tried_);
    if (chosen_) {
        tried_.push_back(chosen_->id);
        return true;
    }
    auto reason = make_error(error_kind::no_upstream, "the service has no available upstream");
    reason.retry_after = retry_hint;
    if (!request_.idempotent && !ticket_ && !request_.call.header("Idempotency-Key").empty()) {
        // The key was not looked up, so an earlier request with the same key may have run.
        reason.outcome = run_outcome::may_have_run;
    }
    fail(std::move(reason));
    return false;
}

void service_call::claim_key()
{
    if (context_.claims == nullptr) {
        auto reason = make_error(error_kind::platform_unavailable, "idempotency claims are not available");
        reason.retry_after = retry_hint;
        fail(std::move(reason));
        return;
    }
    claim_request value;
    value.organisation = request_.organisation;
    value.key = std::string(request_.call.header("Idempotency-Key"));
    value.body_hash = sha256_hex(
        fmt::format("{}\n{}\n{}\n{}", request_.call.method, request_.target.str(), request_.path, request_.call.body));
    value.record = chosen_->id.str();
    context_.claims->claim(std::move(value), [self = shared_from_this()](claim_result result) {
        self->sequence_->post([self, result = std::move(result)] { self->on_claim_result(result); });
    });
}

void service_call::on_claim_result(const claim_result& result)
{
    if (result.value == claim_result::verdict::claimed) {
        ticket_ = result.ticket;
        send();
        return;
    }
    proxy_.on_call_finished(request_.target, chosen_->id, service_balancer::outcome::cancelled);
    chosen_.reset();
    if (result.value == claim_result::verdict::refused) {
        fail(result.reason);
    } else if (result.existing.answer) {
        const auto& answer = *result.existing.answer;
        context_.counters.add("stored_answers_total");
        exchange_->reply(answer.status, {{"Content-Type", answer.content_type}}, answer.body);
    } else {
        fail(make_error(error_kind::run_elsewhere,
                        "the idempotency key was used before and its answer is not available"));
    }
}

milliseconds service_call::remaining() const
{
    const auto spent = std::chrono::duration_cast<milliseconds>(context_.pool.timers().now() - started_);
    return std::max(request_.timeout - spent, milliseconds(1));
}

http_call_request service_call::upstream_request() const
{
    http_call_request out;
    out.address = chosen_->address;
    out.method = request_.call.method;
    out.target = request_.path;
    out.body = request_.call.body;
    out.connect_timeout = std::min(connect_timeout, remaining());
    out.head_timeout = remaining();
    out.idle_timeout = idle_timeout;
    // On a reused connection that is stale the client sends the request again, which only idempotent calls allow.
    out.reuse_connection = request_.idempotent;
    for (const auto name : request_headers) {
        const auto value = request_.call.header(name);
        if (!value.empty()) {
            out.headers.emplace_back(name, value);
        }
    }
    out.headers.emplace_back("Anvillead-Organisation", request_.organisation.str());
    out.headers.emplace_back("Anvillead-Remaining-Ms", std::to_string(remaining().count()));
    return out;
}

void service_call::send()
{
    ++attempts_;
    retry_elsewhere_ = false;
    http_call_handlers handlers;
    const auto self = shared_from_this();
    handlers.on_head = [self](int status, const http_headers& headers) { self->handle_head(status, headers); };
    handlers.on_data = [self](std::string_view bytes) { self->handle_data(bytes); };
    handlers.on_end = [self](const http_call_result& end) { self->handle_end(end); };
    call_ = context_.client.start(upstream_request(), std::move(handlers), sequence_);
}

void service_call::handle_head(int status, const http_headers& headers)
{
    if (status == http_unavailable && request_.idempotent && take_retry(true)) {
        retry_elsewhere_ = true;
        call_->cancel();
        return;
    }
    stored_.status = status;
    stored_.content_type = std::string(find_header(headers, "Content-Type"));
    http_headers out;
    for (const auto& it : headers) {
        if (!is_hop_by_hop_header(it.first)) {
            out.push_back(it);
        }
    }
    head_sent_ = true;
    exchange_->begin_stream(status, std::move(out));
}

void service_call::handle_data(std::string_view bytes)
{
    if (retry_elsewhere_) {
        return;
    }
    exchange_->write(bytes);
    if (ticket_ && stored_.body.size() + bytes.size() <= max_stored_answer_bytes) {
        stored_.body += bytes;
    } else {
        too_long_to_store_ = true;
    }
    if (caller_present_ && !paused_ && exchange_->unsent_bytes() > context_.settings.caller_buffer_bytes) {
        paused_ = true;
        call_->pause();
    }
}

void service_call::handle_end(const http_call_result& end)
{
    using outcome = service_balancer::outcome;
    call_.reset();
    may_have_run_ = may_have_run_ || end.may_have_been_sent;
    const bool complete = end.end == http_call_outcome::complete && !retry_elsewhere_;
    auto value = complete && !is_gateway_error(stored_.status) ? outcome::answered : outcome::failed;
    if (end.end == http_call_outcome::cancelled && !retry_elsewhere_) {
        value = outcome::cancelled;
    }
    proxy_.on_call_finished(request_.target, chosen_->id, value);
    if (complete) {
        close_claim(true);
        exchange_->end_stream();
        context_.retries.refill();
        context_.counters.add("service_calls_completed_total");
        return;
    }
    if (retry_elsewhere_) {
        if (choose()) {
            send();
        }
        return;
    }
    attempt_failed(end);
}

bool service_call::take_retry(bool sent)
{
    const bool allowed = caller_present_ && !head_sent_ && (request_.idempotent || !sent) &&
                         attempts_ < context_.settings.flow.attempts &&
                         proxy_.has_other_upstream(request_.target, tried_);
    if (!allowed || !context_.retries.take()) {
        return false;
    }
    context_.counters.add("retries_total");
    return true;
}

void service_call::attempt_failed(const http_call_result& end)
{
    if (head_sent_) {
        close_claim(false);
        // The connection is aborted so that the caller does not take a truncated answer for a complete one.
        exchange_->abort();
        return;
    }
    if (end.end == http_call_outcome::cancelled) {
        return;
    }
    if (take_retry(end.may_have_been_sent)) {
        if (choose()) {
            send();
        }
        return;
    }
    if (end.may_have_been_sent) {
        close_claim(false);
        fail(make_error(error_kind::upstream_failed, "the service did not answer"));
        return;
    }
    auto reason = make_error(error_kind::no_upstream, "no upstream of the service could be reached");
    reason.retry_after = retry_hint;
    fail(std::move(reason));
}

void service_call::close_claim(bool complete)
{
    if (!ticket_) {
        return;
    }
    if (complete && !too_long_to_store_) {
        context_.claims->complete(*ticket_, std::move(stored_));
    } else {
        context_.claims->release(*ticket_);
    }
    ticket_.reset();
}

void service_call::fail(error reason)
{
    if (may_have_run_ && reason.outcome == run_outcome::not_run) {
        reason.outcome = run_outcome::may_have_run;
    }
    if (ticket_) {
        // No attempt was sent. The outcome not_run may be reported only after the withdrawal of the claim is confirmed.
        context_.claims->withdraw(*std::exchange(ticket_, std::nullopt),
                                  [self = shared_from_this(), reason](result<void> done) mutable {
                                      if (!done) {
                                          reason.outcome = run_outcome::may_have_run;
                                      }
                                      self->sequence_->post([self, reason] { self->fail(reason); });
                                  });
        return;
    }
    context_.counters.add(fmt::format("requests_failed_total{{kind=\"{}\"}}", to_string(reason.kind)));
    reply_error(*exchange_, reason);
}

void service_call::on_caller_disconnected()
{
    caller_present_ = false;
    if (!call_) {
        return;
    }
    if (request_.idempotent) {
        call_->cancel();
    } else if (std::exchange(paused_, false)) {
        // The call continues, so that the complete answer can be stored with the claim.
        call_->resume();
    }
}

} // namespace anvillead
