#include "apps/gateway/service_proxy.h"

#include <algorithm>

#include "apps/gateway/response_request.h"

namespace anvillead {

namespace {

constexpr std::string_view prefix = "/services/";
constexpr std::size_t answer_bytes = 16 * 1024 * 1024;
constexpr milliseconds answer_timeout{30000};

} // namespace

void service_proxy::handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto view = context_.view();
    const auto owner = authenticate_caller(request, view->configuration->merged);
    if (!owner) {
        reply_error(*exchange, owner.error());
        return;
    }
    const std::string rest = request.target.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto* target = view->configuration->merged.find_service(service_name(rest.substr(0, slash)));
    if (target == nullptr || target->kind != service_kind::plain || slash == std::string::npos) {
        reply_error(*exchange, make_error(error_kind::not_found, "no plain service with this name"));
        return;
    }
    const auto* chosen = choose(*target, view->leaving_upstreams);
    if (chosen == nullptr) {
        auto reason = make_error(error_kind::no_upstream, "the service has no upstream in use");
        reason.retry_after = milliseconds(1000);
        reply_error(*exchange, reason);
        return;
    }
    forward(std::move(request), *chosen, rest.substr(slash), exchange);
}

const upstream* service_proxy::choose(const service& target, const std::vector<upstream_id>& leaving)
{
    const std::lock_guard lock(mutex_);
    const upstream* best = nullptr;
    for (const auto& it : target.upstreams) {
        if (std::find(leaving.begin(), leaving.end(), it.id) != leaving.end()) {
            continue;
        }
        if (best == nullptr || outstanding_[it.id] < outstanding_[best->id]) {
            best = &it;
        }
    }
    if (best != nullptr) {
        ++outstanding_[best->id];
    }
    return best;
}

void service_proxy::forward(http_request request, const upstream& target, const std::string& path,
                            const std::shared_ptr<ihttp_exchange>& exchange)
{
    http_call_request call;
    call.address = target.address;
    call.method = request.method;
    call.target = path;
    call.body = std::move(request.body);
    call.head_timeout = answer_timeout;
    call.idle_timeout = answer_timeout;
    const auto type = request.header("Content-Type");
    if (!type.empty()) {
        call.headers.emplace_back("Content-Type", std::string(type));
    }
    context_.client.fetch(
        std::move(call), answer_bytes, exchange->sequence(),
        [this, exchange, id = target.id](const http_call_end& end, const http_answer& answer) {
            {
                const std::lock_guard lock(mutex_);
                --outstanding_[id];
            }
            if (end.end == http_end::complete) {
                exchange->reply(answer.status,
                                {{"Content-Type", std::string(find_header(answer.headers, "Content-Type"))}},
                                answer.body);
                return;
            }
            auto reason = make_error(end.may_have_been_sent ? error_kind::upstream_failed : error_kind::no_upstream,
                                     "the service did not answer");
            reply_error(*exchange, reason);
        });
}

} // namespace anvillead
