#include "apps/gateway/key_forwarder.h"

#include <algorithm>
#include <array>

#include "apps/gateway/response_request.h"
#include "claims/idempotency_key.h"

namespace anvillead {

namespace {

constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view forwarded_header = "Anvillead-Forwarded";
// A request without a stream gets its response head only when the generation is complete.
constexpr milliseconds head_timeout{120'000};
// The other gateway sends a keep-alive comment every 5 s while a stream has no events.
constexpr milliseconds idle_timeout{20'000};
constexpr milliseconds retry_hint{1000};
// Added to the workload's deadline, when the other gateway refuses a stream that has not started.
constexpr milliseconds refusal_margin{1000};
// Response headers passed to the caller. The others apply only to the connection between the gateways.
constexpr std::array<std::string_view, 4> answer_headers = {"Content-Type", "Cache-Control", "Retry-After", "Location"};
constexpr std::array<std::string_view, 7> request_headers = {
    "Authorization", "Content-Type", "Accept", "Anvillead-Workload", key_header, "Last-Event-ID", "User-Agent"};

template <typename Names, typename Find>
http_headers copy_headers(const Names& names, Find find)
{
    http_headers out;
    for (const auto name : names) {
        const std::string_view value = find(name);
        if (!value.empty()) {
            out.emplace_back(std::string(name), std::string(value));
        }
    }
    return out;
}

/// Returns the timeout for the response head. A stream starts by the workload's deadline; a shorter timeout for streams
/// ensures that the caller gets an error when the connection to the other gateway no longer responds.
milliseconds head_timeout_of(const http_request& request, const document& configuration)
{
    if (request.method != "POST" || request.path() != "/v1/responses") {
        return head_timeout;
    }
    const auto parsed = parse_response_request(request, configuration);
    const bool bounded = parsed && parsed.value().stream && parsed.value().work->deadline.count() > 0;
    return bounded ? parsed.value().work->deadline + refusal_margin : head_timeout;
}

/// State of a forwarded request. All methods run on the sequence of the exchange.
struct forwarded_call : std::enable_shared_from_this<forwarded_call>
{
    std::shared_ptr<ihttp_exchange> exchange;
    std::shared_ptr<ihttp_call> call;
    std::size_t buffer_bytes = 0;
    bool head_sent = false;
    bool paused = false;
    bool closed = false;

    void handle_head(int status, const http_headers& headers)
    {
        head_sent = true;
        if (!closed) {
            exchange->begin_stream(
                status, copy_headers(answer_headers, [&](std::string_view it) { return find_header(headers, it); }));
        }
    }

    void handle_data(std::string_view text)
    {
        if (closed) {
            return;
        }
        exchange->write(text);
        if (exchange->unsent_bytes() > buffer_bytes && call && !std::exchange(paused, true)) {
            call->pause();
        }
    }

    void handle_end(const http_call_result& end)
    {
        if (closed) {
            return;
        }
        if (head_sent) {
            end.end == http_call_outcome::complete ? exchange->end_stream() : exchange->abort();
            return;
        }
        // The unreachable gateway may have dispatched an earlier request with the same key.
        auto reason = make_error(end.may_have_been_sent ? error_kind::upstream_failed : error_kind::no_upstream,
                                 "the gateway that the key is bound to did not answer");
        reason.outcome = run_outcome::may_have_run;
        reason.retry_after = retry_hint;
        reply_error(*exchange, reason);
    }
};

} // namespace

key_forwarder::key_forwarder(gateway_context& context, const bound_key_codec& codec, bound_key_owner self)
    : context_(context), codec_(codec), self_(std::move(self))
{}

bool key_forwarder::forward(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const std::string text(request.header(key_header));
    auto key = parse_idempotency_key(text);
    if (!key || !key.value().bound()) {
        return false;
    }
    const auto owner = codec_.owner_of(key.value().bound_prefix);
    if (!owner || owner.value() == self_) {
        return false;
    }
    const bool forwarded = codec_.is_forwarding_signature(request.header(forwarded_header), text);
    const auto address = forwarded ? std::string() : address_of(owner.value());
    if (address.empty()) {
        reply_error(*exchange, make_error(error_kind::run_elsewhere,
                                          "the gateway that the key is bound to is no longer available"));
        return true;
    }
    context_.counters.add("requests_forwarded_total");
    forward_to(request, address, exchange);
    return true;
}

std::string key_forwarder::address_of(const bound_key_owner& owner) const
{
    const auto view = context_.view();
    const auto it = std::find_if(view->members.begin(), view->members.end(),
                                 [&](const member& member) { return member.host == owner.host; });
    // A key bound to this host belongs to an earlier incarnation of this process.
    const bool gone = it == view->members.end() || it->state == member_state::dead || owner.host == self_.host;
    return gone ? std::string() : it->addresses.gateway_http;
}

void key_forwarder::forward_to(const http_request& request, const std::string& address,
                               const std::shared_ptr<ihttp_exchange>& exchange)
{
    http_call_request out;
    out.address = address;
    out.method = request.method;
    out.target = request.target;
    out.headers = copy_headers(request_headers, [&](std::string_view it) { return request.header(it); });
    out.headers.emplace_back(std::string(forwarded_header),
                             codec_.forwarding_signature(std::string(request.header(key_header))));
    out.body = request.body;
    out.head_timeout = head_timeout_of(request, context_.view()->configuration->merged);
    out.idle_timeout = idle_timeout;
    const auto state = std::make_shared<forwarded_call>();
    state->exchange = exchange;
    state->buffer_bytes = context_.settings.caller_buffer_bytes;
    const std::weak_ptr<forwarded_call> weak = state;
    exchange->on_closed([weak] {
        const auto self = weak.lock();
        if (self) {
            self->closed = true;
            if (self->call) {
                self->call->cancel();
            }
        }
    });
    exchange->on_drained([weak] {
        const auto self = weak.lock();
        if (self && self->call && std::exchange(self->paused, false)) {
            self->call->resume();
        }
    });
    http_call_handlers handlers;
    handlers.on_head = [state](int status, const http_headers& headers) { state->handle_head(status, headers); };
    handlers.on_data = [state](std::string_view text) { state->handle_data(text); };
    handlers.on_end = [state](const http_call_result& end) { state->handle_end(end); };
    state->call = context_.client.start(std::move(out), std::move(handlers), exchange->sequence());
}

} // namespace anvillead
