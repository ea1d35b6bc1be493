#include "apps/gateway/service_proxy.h"

#include <algorithm>

#include "apps/gateway/response_request.h"
#include "apps/gateway/service_call.h"
#include "core/bounded_json.h"
#include "core/log.h"

namespace anvillead {

namespace {

constexpr std::string_view services_prefix = "/services/";
// Timeout of a load report.
constexpr milliseconds load_timeout{1000};
constexpr std::size_t max_load_report_bytes = 64 * 1024;
constexpr int max_running = 1'000'000;
// Load reports are requested only for services that were called within this time.
constexpr seconds load_poll_window{60};

bool is_safe_method(const std::string& method)
{
    return method == "GET" || method == "HEAD";
}

/// Applies the properties of the named workload. A workload is optional for plain services.
result<void> apply_workload(const http_request& request, const document& configuration, service_request& out)
{
    const std::string name(request.header("Anvillead-Workload"));
    if (name.empty()) {
        return success();
    }
    const auto* work = configuration.find_workload(workload_name(name));
    if (work == nullptr || work->target != out.target) {
        return make_error(error_kind::unknown_workload, "no workload with this name for the service");
    }
    out.idempotent = out.idempotent || work->idempotent;
    if (work->deadline.count() > 0) {
        out.timeout = work->deadline;
    }
    return success();
}

} // namespace

service_proxy::service_proxy(gateway_context& context, std::function<void(const upstream_id&)> report_leaving)
    : context_(context), report_leaving_(std::move(report_leaving)), sequence_(context.pool.make_sequence())
{}

void service_proxy::handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto view = context_.view();
    const auto& configuration = view->configuration->merged;
    const auto owner = authenticate_caller(request, configuration);
    if (!owner) {
        reply_error(*exchange, owner.error());
        return;
    }
    const std::string rest = request.target.substr(services_prefix.size());
    const auto slash = rest.find('/');
    const auto* target = configuration.find_service(service_name(rest.substr(0, slash)));
    if (target == nullptr || target->kind != service_kind::plain || slash == std::string::npos) {
        reply_error(*exchange, make_error(error_kind::not_found, "no plain service with this name"));
        return;
    }
    service_request out;
    out.organisation = owner.value()->id;
    out.target = target->name;
    out.path = rest.substr(slash);
    out.idempotent = is_safe_method(request.method);
    out.timeout = context_.settings.service_timeout;
    const auto checked = apply_workload(request, configuration, out);
    if (!checked) {
        reply_error(*exchange, checked.error());
        return;
    }
    out.call = std::move(request);
    std::make_shared<service_call>(context_, *this, exchange, std::move(out))->start();
}

void service_proxy::apply_view(const view_ptr& view)
{
    const auto now = context_.pool.timers().now();
    const auto& services = view->configuration->merged.services;
    const std::lock_guard lock(mutex_);
    for (auto it = pools_.begin(); it != pools_.end();) {
        const bool kept = std::any_of(services.begin(), services.end(),
                                      [&](const service& value) { return value.name == it->first; });
        it = kept ? std::next(it) : pools_.erase(it);
    }
    for (const auto& it : services) {
        if (it.kind != service_kind::plain) {
            continue;
        }
        auto& target = pools_.try_emplace(it.name, upstream_pool{service_balancer(context_.settings.balancer), {}, {}})
                           .first->second;
        target.upstreams = it.upstreams;
        std::vector<upstream_id> ids;
        ids.reserve(it.upstreams.size());
        for (const auto& value : it.upstreams) {
            ids.push_back(value.id);
        }
        target.balancer.configure(now, ids, view->leaving_upstreams);
    }
}

std::optional<upstream> service_proxy::choose(const service_name& target, const std::vector<upstream_id>& excluded)
{
    const auto now = context_.pool.timers().now();
    std::vector<upstream_id> returned;
    std::optional<upstream> out;
    {
        const std::lock_guard lock(mutex_);
        const auto it = pools_.find(target);
        if (it == pools_.end()) {
            return std::nullopt;
        }
        it->second.last_used_at = now;
        returned = it->second.balancer.take_reinstated(now);
        const auto chosen = it->second.balancer.choose(now, excluded);
        for (const auto& value : it->second.upstreams) {
            if (chosen == value.id) {
                out = value;
            }
        }
    }
    for (const auto& id : returned) {
        log(log_level::info, log_event::upstream_restored, {{"upstream", id.str()}});
    }
    return out;
}

bool service_proxy::has_other_upstream(const service_name& target, const std::vector<upstream_id>& excluded) const
{
    const std::lock_guard lock(mutex_);
    const auto it = pools_.find(target);
    return it != pools_.end() &&
           std::any_of(it->second.upstreams.begin(), it->second.upstreams.end(), [&](const upstream& value) {
               return std::find(excluded.begin(), excluded.end(), value.id) == excluded.end();
           });
}

void service_proxy::on_call_finished(const service_name& target, const upstream_id& id,
                                     service_balancer::outcome outcome)
{
    bool ejected = false;
    {
        const std::lock_guard lock(mutex_);
        const auto it = pools_.find(target);
        ejected = it != pools_.end() && it->second.balancer.on_end(context_.pool.timers().now(), id, outcome);
    }
    if (ejected) {
        context_.counters.add("upstreams_ejected_total");
        log(log_level::warning, log_event::upstream_suspended, {{"upstream", id.str()}});
    }
}

void service_proxy::poll_loads()
{
    const auto now = context_.pool.timers().now();
    std::vector<std::pair<service_name, upstream>> wanted;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, it] : pools_) {
            if (it.last_used_at == instant{} || now - it.last_used_at > load_poll_window) {
                continue;
            }
            for (const auto& value : it.upstreams) {
                wanted.emplace_back(name, value);
            }
        }
    }
    sequence_->post([this, wanted = std::move(wanted)] {
        for (const auto& [name, value] : wanted) {
            poll(name, value);
        }
    });
}

void service_proxy::poll(const service_name& target, const upstream& value)
{
    if (!polls_in_flight_.insert(value.id).second) {
        return;
    }
    http_call_request call;
    call.address = value.address;
    call.target = "/load";
    call.head_timeout = load_timeout;
    call.idle_timeout = load_timeout;
    call.reuse_connection = true;
    context_.client.fetch(std::move(call), max_load_report_bytes, sequence_,
                          [this, target, id = value.id](const http_call_result& end, const http_response& answer) {
                              polls_in_flight_.erase(id);
                              if (end.end == http_call_outcome::complete && answer.status == 200) {
                                  handle_load_report(target, id, answer);
                              } else {
                                  context_.counters.add("load_reports_missed_total");
                              }
                          });
}

void service_proxy::handle_load_report(const service_name& target, const upstream_id& id, const http_response& answer)
{
    const auto body = parse_bounded_json(answer.body);
    if (!body || !body->is_object()) {
        context_.counters.add("load_reports_missed_total");
        return;
    }
    const auto running = body->find("running");
    const auto leaving = body->find("leaving");
    const bool leaves = leaving != body->end() && leaving->is_boolean() && leaving->get<bool>();
    const auto count = running != body->end() && running->is_number_integer() ? running->get<std::int64_t>() : 0;
    {
        const std::lock_guard lock(mutex_);
        const auto it = pools_.find(target);
        if (it != pools_.end()) {
            it->second.balancer.on_load(context_.pool.timers().now(), id,
                                        static_cast<int>(std::clamp<std::int64_t>(count, 0, max_running)), leaves);
        }
    }
    if (leaves) {
        // Sent for each load report, because the link to the agent may have been down before.
        report_leaving_(id);
    }
}

} // namespace anvillead
