#include "node/caller_handler.h"

#include <algorithm>

#include "core/log.h"
#include "node/error_response.h"
#include "node/types/forwarding.h"
#include "platform/call_headers.h"

namespace anvillead {

namespace {

// Retry-After while the configuration is not loaded yet; a starting host usually has it within this time.
constexpr milliseconds retry_after_start{300};
// Retry-After while another host has a newer configuration; this host usually gets it within this time.
constexpr milliseconds retry_after_configuration{100};
constexpr std::size_t min_plain_calls_limit = 64;
// Requests of other hosts' callers that this host serves at the same time; each holds two connections and their
// buffers.
constexpr std::size_t max_forwarded_requests = 128;

} // namespace

void caller_handler::handle(http_request message, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto id = request_id(std::string(platform::caller_request_id(message)));
    auto admitted = admit(std::move(message), exchange);
    if (!admitted) {
        send_error_response(*exchange, id, admitted.error());
        return;
    }
    auto& request = admitted.value();
    if (request.matched_route->event_stream) {
        start_generation(std::move(request));
        return;
    }
    start_plain_call(std::move(request));
}

std::function<void(ihttp_exchange&)> caller_handler::check_head(const http_request& head) const
{
    admitted_request request;
    request.table = context_.routes;
    if (!request.table || !head.header(forwarded_by_header).empty()) {
        return nullptr;
    }
    auto refusal = resolve(head, request);
    if (!refusal) {
        return nullptr;
    }
    const auto id = request_id(std::string(platform::caller_request_id(head)));
    return [id, reason = std::move(*refusal)](ihttp_exchange& exchange) { send_error_response(exchange, id, reason); };
}

result<admitted_request> caller_handler::admit(http_request message,
                                               const std::shared_ptr<ihttp_exchange>& exchange) const
{
    admitted_request out;
    out.table = context_.routes;
    if (!out.table) {
        auto reason = make_error(error_kind::not_ready, "this host has no configuration yet");
        reason.retry_after = retry_after_start;
        return reason;
    }
    if (auto refusal = admit_forwarded(message, out)) {
        return *refusal;
    }
    if (auto refusal = resolve(message, out)) {
        return *refusal;
    }
    out.message = std::move(message);
    out.traits =
        traits_of({out.message.method, out.caller.host, out.message.target, out.organisation, out.message.body},
                  out.caller.prompt_parts);
    out.body = std::make_shared<const std::string>(std::move(out.message.body));
    out.message.body.clear();
    out.exchange = exchange;
    return out;
}

std::optional<error> caller_handler::resolve(const http_request& message, admitted_request& out) const
{
    auto caller = platform::read_caller_request(message);
    if (!caller) {
        return caller.error();
    }
    out.caller = std::move(caller.value());
    out.matched_route = out.table->find(out.caller.host, out.caller.path);
    if (out.matched_route == nullptr) {
        return refuse_unknown(error_kind::not_found, "no route matches this host and path");
    }
    out.priority = out.matched_route->priority;
    if (out.table->keys_required && !out.matched_route->anonymous) {
        const auto* organisation = out.table->organisation_for_key(out.caller.api_key);
        if (organisation == nullptr) {
            return refuse_unknown(error_kind::unauthorized, "the API key is unknown");
        }
        out.organisation = organisation->id;
        out.priority = organisation->priority.value_or(out.priority);
    }
    out.service = pick_service(*out.matched_route, out.caller.id.str());
    if (out.table->service(out.service) == nullptr) {
        auto reason = make_error(error_kind::no_upstream, "the route's service is not configured");
        reason.retry_after = retry_after_start;
        return reason;
    }
    out.arrived = context_.timers.now();
    if (out.caller.patience) {
        out.deadline = out.arrived + *out.caller.patience;
    }
    if (out.matched_route->timeout.count() > 0) {
        out.deadline = std::min(out.deadline, out.arrived + out.matched_route->timeout);
    }
    if (out.may_outlive(context_.exit_at)) {
        return refusal_of_leaving_host();
    }
    return std::nullopt;
}

error caller_handler::refuse_unknown(error_kind kind, std::string message) const
{
    if (!context_.knows_newer_configuration()) {
        return make_error(kind, std::move(message));
    }
    auto reason = make_error(error_kind::not_ready, "this host does not have the newest configuration yet");
    reason.retry_after = retry_after_configuration;
    return reason;
}

std::optional<error> caller_handler::admit_forwarded(http_request& message, admitted_request& out) const
{
    if (message.header(forwarded_by_header).empty()) {
        return std::nullopt;
    }
    const auto required =
        std::strtoull(std::string(message.header(forwarded_configuration_header)).c_str(), nullptr, 10);
    message.headers.erase(std::remove_if(message.headers.begin(), message.headers.end(),
                                         [](const auto& it) {
                                             return it.first == forwarded_by_header ||
                                                    it.first == forwarded_configuration_header;
                                         }),
                          message.headers.end());
    if (out.table->version < required) {
        auto reason = make_error(error_kind::not_ready, "this host has an older configuration than the forwarding one");
        reason.retry_after = retry_after_start;
        return reason;
    }
    if (*context_.forwarded_requests >= max_forwarded_requests) {
        auto reason = make_error(error_kind::too_many_connections, "this host serves enough callers of other hosts");
        reason.retry_after = retry_after_start;
        return reason;
    }
    out.forwarded = true;
    ++*context_.forwarded_requests;
    out.forwarded_slot = std::shared_ptr<void>(nullptr, [count = context_.forwarded_requests](void*) { --*count; });
    return std::nullopt;
}

void caller_handler::start_generation(admitted_request request)
{
    auto relay = std::make_shared<generation_relay>(context_, std::move(request));
    generations_.erase(std::remove_if(generations_.begin(), generations_.end(),
                                      [](const auto& it) {
                                          const auto generation = it.lock();
                                          return !generation || generation->ended();
                                      }),
                       generations_.end());
    generations_.push_back(relay);
    relay->start();
}

void caller_handler::start_plain_call(admitted_request request)
{
    auto call = std::make_shared<plain_call>(context_, std::move(request));
    if (plain_calls_.size() >= plain_calls_limit_) {
        plain_calls_.erase(
            std::remove_if(plain_calls_.begin(), plain_calls_.end(), [](const auto& it) { return it.expired(); }),
            plain_calls_.end());
        plain_calls_limit_ = std::max(min_plain_calls_limit, 2 * plain_calls_.size());
    }
    plain_calls_.push_back(call);
    call->start();
}

void caller_handler::for_each_generation(const std::function<void(generation_relay&)>& action)
{
    // Iterates over a copy, because an action may end a generation and thereby change the list.
    const auto list = generations_;
    for (const auto& it : list) {
        if (const auto relay = it.lock(); relay && !relay->ended()) {
            action(*relay);
        }
    }
}

void caller_handler::on_upstream_leaving(const upstream_id& upstream)
{
    for_each_generation([&upstream](generation_relay& it) { it.on_upstream_leaving(upstream); });
}

void caller_handler::on_upstream_restarted(const upstream_id& upstream)
{
    for_each_generation([&upstream](generation_relay& it) { it.on_upstream_restarted(upstream); });
}

void caller_handler::on_shutdown()
{
    for_each_generation([](generation_relay& it) { it.on_shutdown(); });
}

void caller_handler::on_requests_quarantined()
{
    for_each_generation([](generation_relay& it) { it.on_requests_quarantined(); });
}

std::size_t caller_handler::open_generations()
{
    std::size_t out = 0;
    for_each_generation([&out](generation_relay&) { ++out; });
    return out;
}

void caller_handler::abort_all(const std::string& reason)
{
    for_each_generation([&reason](generation_relay& it) { it.abort(reason); });
    for (const auto& it : std::exchange(plain_calls_, {})) {
        if (const auto call = it.lock()) {
            call->abort(reason);
        }
    }
}

} // namespace anvillead
