#include "apps/gateway/keyed_requests.h"

#include "core/crypto.h"
#include "streams/sse.h"

namespace anvillead {

namespace {

// Upper bound of the time between a claim and the start of the generation in the engine, with a wide margin for a slow
// gateway.
constexpr milliseconds attach_retry_timeout{1000};
constexpr milliseconds attach_retry_delay{100};
constexpr std::size_t digest_length = 32;
constexpr milliseconds pending_renewal_period{1000};
// Interval at which a repeated request checks whether the first request has been dispatched.
constexpr milliseconds pending_poll_delay{250};

error run_unreachable()
{
    return make_error(error_kind::run_elsewhere,
                      "the idempotency key was used before and its response cannot be reached");
}

/// Digest of the fields that must be equal in a repeated request. `stream` is excluded, because it may differ.
std::string request_digest(const response_request& request)
{
    auto body = request.body;
    body.erase("stream");
    return sha256_hex("responses\n" + request.work->name.str() + '\n' +
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace))
        .substr(0, digest_length);
}

std::string registry_key(const response_request& request)
{
    return sha256_hex(request.owner->id.str() + '\n' + request.idempotency_key + '\n' + request_digest(request));
}

} // namespace

keyed_requests::keyed_requests(gateway_context& context, registry_links& registry)
    : context_(context), registry_(registry)
{}

claim_request keyed_requests::make_claim_request(const response_request& request,
                                                 const response_location& location) const
{
    return {request.owner->id, request.idempotency_key, request_digest(request), context_.ids.encode(location)};
}

void keyed_requests::on_dispatched(const response_request& request, const response_location& location)
{
    if (request.work->idempotent && !request.idempotency_key.empty()) {
        registry_.put(registry_key(request), context_.ids.encode(location));
    }
}

void keyed_requests::start(response_request request, const view_ptr& view,
                           const std::shared_ptr<ihttp_exchange>& exchange)
{
    if (request.idempotency_key.empty()) {
        run(std::move(request), view, exchange, false);
        return;
    }
    const auto value = std::make_shared<pending_request>();
    value->request = std::move(request);
    value->view = view;
    value->exchange = exchange;
    value->last_keep_alive = context_.pool.timers().now();
    exchange->on_closed([value] { value->closed = true; });
    if (value->request.work->idempotent) {
        start_idempotent(value);
    } else {
        start_with_claim(value);
    }
}

void keyed_requests::start_idempotent(const std::shared_ptr<pending_request>& value)
{
    registry_.look_up(registry_key(value->request), [this, value](const std::optional<std::string>& found) {
        value->exchange->sequence()->post([this, value, found] {
            if (!value->closed) {
                handle_lookup_result(value, found);
            }
        });
    });
}

void keyed_requests::handle_lookup_result(const std::shared_ptr<pending_request>& value,
                                          const std::optional<std::string>& found)
{
    if (found != pending_response_id) {
        const auto earlier = found ? make_attachment(value->request, value->view, value->exchange, *found) : nullptr;
        if (!earlier || !attach(earlier, value->head_sent)) {
            run(value->request, value->view, value->exchange, value->head_sent);
        }
        return;
    }
    const auto now = context_.pool.timers().now();
    if (value->request.stream && now - value->last_keep_alive >= context_.settings.keep_alive_comment) {
        value->last_keep_alive = now;
        if (!std::exchange(value->head_sent, true)) {
            value->exchange->begin_stream(200, event_stream_headers);
        }
        value->exchange->write(encode_sse_comment("keep-alive"));
    }
    context_.pool.timers().after(pending_poll_delay, [this, value] { start_idempotent(value); });
}

void keyed_requests::start_with_claim(const std::shared_ptr<pending_request>& value)
{
    context_.claims->look_up(make_claim_request(value->request, {}), [this, value](claim_result answer) {
        value->exchange->sequence()->post([this, value, answer = std::move(answer)] {
            if (value->closed) {
                return;
            }
            if (answer.value == claim_result::verdict::free) {
                run(value->request, value->view, value->exchange, false);
                return;
            }
            if (answer.value == claim_result::verdict::refused) {
                reply_error(*value->exchange, answer.reason);
                return;
            }
            const auto earlier = make_attachment(value->request, value->view, value->exchange, answer.existing.record);
            if (!earlier || !attach(earlier, false)) {
                reply_error(*value->exchange, run_unreachable());
            }
        });
    });
}

void keyed_requests::run(response_request request, const view_ptr& view,
                         const std::shared_ptr<ihttp_exchange>& exchange, bool head_sent)
{
    const auto stream = std::make_shared<response_stream>(context_, exchange);
    const bool registered = request.work->idempotent && !request.idempotency_key.empty();
    const auto key = registered ? registry_key(request) : std::string();
    stream->set_head_sent(head_sent);
    stream->start(std::move(request), view);
    if (registered) {
        renew_pending(key, stream);
    }
}

void keyed_requests::renew_pending(const std::string& key, const std::weak_ptr<response_stream>& stream)
{
    const auto waiting = stream.lock();
    if (!waiting || !waiting->waits_for_engine()) {
        return;
    }
    registry_.put(key, std::string(pending_response_id));
    context_.pool.timers().after(pending_renewal_period, [this, key, stream, sequence = waiting->sequence()] {
        sequence->post([this, key, stream] { renew_pending(key, stream); });
    });
}

std::shared_ptr<keyed_requests::attachment>
keyed_requests::make_attachment(const response_request& request, const view_ptr& view,
                                const std::shared_ptr<ihttp_exchange>& exchange, const std::string& record) const
{
    const auto location = context_.ids.decode(record);
    if (!location || location.value().organisation != request.owner->id) {
        return nullptr;
    }
    return std::make_shared<attachment>(
        attachment{request, view, exchange, location.value(), context_.pool.timers().now() + attach_retry_timeout});
}

bool keyed_requests::attach(const std::shared_ptr<attachment>& value, bool head_sent)
{
    const auto view = context_.view();
    const auto* engine = view->configuration->merged.find_upstream(value->location.engine);
    if (engine == nullptr) {
        return false;
    }
    context_.counters.add("requests_attached_total");
    const auto stream = std::make_shared<response_stream>(context_, value->exchange);
    stream->set_head_sent(head_sent);
    stream->set_failure_handler(
        [this, value](error& reason, bool head) { return handle_attach_failure(value, reason, head); });
    stream->attach(value->location, engine->address, value->request.stream);
    return true;
}

bool keyed_requests::handle_attach_failure(const std::shared_ptr<attachment>& value, error& reason, bool head_sent)
{
    if (value->request.work->idempotent) {
        run(value->request, value->view, value->exchange, head_sent);
        return true;
    }
    reason = run_unreachable();
    if (context_.pool.timers().now() >= value->retry_deadline) {
        return false;
    }
    context_.pool.timers().after(attach_retry_delay, [this, value, head_sent] {
        value->exchange->sequence()->post([this, value, head_sent] {
            if (!attach(value, head_sent)) {
                reply_error(*value->exchange, run_unreachable());
            }
        });
    });
    return true;
}

failure_handler keyed_requests::make_attach_handler(const response_request& request, const view_ptr& view,
                                                    const std::shared_ptr<ihttp_exchange>& exchange,
                                                    const claim_record& existing)
{
    return [this, earlier = make_attachment(request, view, exchange, existing.record)](error&, bool head_sent) {
        return earlier && attach(earlier, head_sent);
    };
}

} // namespace anvillead
