#include "apps/gateway/gateway_daemon.h"

#include <algorithm>

#include "apps/common/withdrawal.h"
#include "apps/gateway/response_stream.h"
#include "core/bounded_json.h"
#include "core/crypto.h"
#include "core/log.h"
#include "routing/endpoint_selection.h"

namespace anvillead {

namespace {

constexpr milliseconds absence_check_period{100};
constexpr milliseconds drain_check_period{50};
// Delay before the process exits, so that the final progress reports are sent.
constexpr milliseconds final_report_delay{100};
constexpr std::size_t spread_key_bytes = 8;
constexpr milliseconds answer_idle_timeout{10'000};
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
constexpr std::string_view responses_path = "/v1/responses/";
constexpr std::string_view services_path = "/services/";
constexpr std::string_view cancel_suffix = "/cancel";

const http_headers json_headers = {{"Content-Type", "application/json"}};

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

bool ends_with(std::string_view text, std::string_view suffix)
{
    return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

/// Error for a request that is refused before its key is looked up. An earlier request with the same key may have run.
error refusal_before_lookup(const http_request& request, error_kind kind, const char* message)
{
    auto out = make_error(kind, message);
    if (!request.header("Idempotency-Key").empty()) {
        out.outcome = run_outcome::may_have_run;
    }
    return out;
}

} // namespace

gateway_daemon::gateway_daemon(worker_pool& pool, gateway_settings settings)
    : pool_(pool), settings_(std::move(settings)), ids_(settings_.common.fleet_keys), retries_(settings_.retries),
      gaps_(settings_.stall), client_(make_http_client(pool))
{
    const auto number = new_incarnation();
    const auto options = make_link_options(settings_.common, "gateway", number);
    schedulers_ = std::make_unique<scheduler_links>(pool, options, counters_, progress_, settings_.grants);
    context_.reset(new gateway_context{pool_, settings_, counters_, *client_, *schedulers_, progress_, ids_,
                                       [this] { return agent_->current(); }, retries_, gaps_});
    idempotency_ = std::make_unique<idempotency_manager>(*context_, options, number);
    services_ = std::make_unique<service_proxy>(*context_,
                                                [this](const upstream_id& id) { agent_->send(upstream_report{id}); });
    link_server_ = make_link_server(pool, settings_.link_listen, options, idempotency_->server_handlers(), counters_);
    http_server_ = make_http_server(
        pool, {settings_.listen, settings_.http},
        [this](http_request request, const std::shared_ptr<ihttp_exchange>& exchange) {
            handle(std::move(request), exchange);
        },
        counters_);
    agent_ = std::make_unique<agent_link>(pool, settings_.agent, options, counters_, [this](const view_ptr& view) {
        schedulers_->apply_view(view);
        services_->apply_view(view);
        gaps_.retain_if(
            [&](const upstream_id& id) { return view->configuration->merged.find_upstream(id) != nullptr; });
        idempotency_->apply_view(view);
    });
    schedulers_->set_generation_gate([this](config_generation generation, std::function<void()> task) {
        agent_->run_at_generation(generation, std::move(task));
    });
    agent_->report({"gateway", false, 0, http_address(), link_address()});
    log(log_level::info, log_event::process_started,
        {{"listen", http_server_->address()}, {"link", link_server_->address()}});
}

gateway_daemon::~gateway_daemon() = default;

void gateway_daemon::start()
{
    pool_.timers().every(settings_.progress.shortest, [this] { schedulers_->report_progress(); });
    pool_.timers().every(settings_.load_period, [this] { services_->poll_loads(); });
    pool_.timers().every(absence_check_period, [this] { schedulers_->refuse_unserved(); });
    idempotency_->start_pruning();
}

void gateway_daemon::run()
{
    pool_.on_stop_signal([this] { stop_requested(); });
    start();
    pool_.run();
    log(log_level::info, log_event::process_stopped, {});
}

std::string gateway_daemon::http_address() const
{
    return reachable_address(settings_.advertise, http_server_->address());
}

std::string gateway_daemon::link_address() const
{
    return reachable_address(settings_.link_advertise, link_server_->address());
}

bool gateway_daemon::ready() const
{
    return agent_->current()->configuration->generation > 0 && !leaving_;
}

void gateway_daemon::handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto path = request.path();
    counters_.add("requests_total");
    if (path == "/healthz") {
        exchange->reply(200, {}, "ok\n");
    } else if (path == "/readyz") {
        exchange->reply(ready() ? 200 : 503, {}, ready() ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        counters_.set("open_requests", static_cast<double>(*context_->open_requests));
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, counters_.text());
    } else if (agent_->current()->configuration->generation == 0) {
        auto reason = refusal_before_lookup(request, error_kind::not_ready, "no configuration has been accepted yet");
        reason.retry_after = milliseconds(1000);
        reply_error(*exchange, reason);
    } else if (path == "/v1/endpoints" && request.method == "GET") {
        list_endpoints(request, exchange);
    } else if (idempotency_->forward(request, exchange)) {
        return;
    } else if (path == "/v1/responses" && request.method == "POST") {
        create_response(request, exchange);
    } else if (starts_with(path, responses_path)) {
        handle_existing_response(request, exchange);
    } else if (starts_with(path, services_path)) {
        if (check_capacity(request, *exchange)) {
            services_->handle(std::move(request), exchange);
        }
    } else {
        reply_error(*exchange, make_error(error_kind::not_found, "no such path"));
    }
}

bool gateway_daemon::check_capacity(const http_request& request, ihttp_exchange& exchange)
{
    if (*context_->open_requests < settings_.open_requests) {
        return true;
    }
    counters_.add("open_requests_refused_total");
    auto reason = refusal_before_lookup(request, error_kind::overloaded, "the gateway has too many open requests");
    reason.retry_after = milliseconds(1000);
    reply_error(exchange, reason);
    return false;
}

void gateway_daemon::create_response(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto view = agent_->current();
    auto parsed = parse_response_request(request, view->configuration->merged);
    if (!parsed) {
        reply_error(*exchange, parsed.error());
        return;
    }
    if (!check_capacity(request, *exchange)) {
        return;
    }
    context_->keyed->start(std::move(parsed.value()), view, exchange);
}

result<response_location> gateway_daemon::find_response(const http_request& request, std::string_view id,
                                                        const document& configuration) const
{
    const auto owner = authenticate_caller(request, configuration);
    if (!owner) {
        return owner.error();
    }
    auto location = ids_.decode(id);
    // An id of another organisation gets the same error as an unknown id.
    if (!location || location.value().organisation != owner.value()->id) {
        return make_error(error_kind::not_found, "no response with this id");
    }
    return location;
}

void gateway_daemon::handle_existing_response(const http_request& request,
                                              const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto view = agent_->current();
    const auto& configuration = view->configuration->merged;
    auto id = request.path().substr(responses_path.size());
    const bool cancel = ends_with(id, cancel_suffix);
    if (cancel) {
        id.remove_suffix(cancel_suffix.size());
    }
    const auto location = find_response(request, id, configuration);
    if (!location) {
        reply_error(*exchange, location.error());
        return;
    }
    const auto* engine = configuration.find_upstream(location.value().engine);
    if (engine == nullptr) {
        reply_error(*exchange,
                    make_error(error_kind::generation_lost, "the engine of the response is no longer configured"));
        return;
    }
    if (request.method != (cancel ? "POST" : "GET")) {
        reply_error(*exchange, make_error(error_kind::invalid_request, "the method is not allowed for this path"));
        return;
    }
    if (cancel || request.query("stream") != "true") {
        fetch_response(location.value(), engine->address, cancel, exchange);
        return;
    }
    const auto after = parse_starting_after(request);
    if (!after) {
        reply_error(*exchange, after.error());
        return;
    }
    if (check_capacity(request, *exchange)) {
        std::make_shared<response_stream>(*context_, exchange)
            ->resume(location.value(), engine->address, after.value());
    }
}

void gateway_daemon::fetch_response(const response_location& location, const std::string& address, bool cancel,
                                    const std::shared_ptr<ihttp_exchange>& exchange)
{
    http_call_request call;
    call.address = address;
    call.method = cancel ? "POST" : "GET";
    call.target = std::string(responses_path) + location.generation.str() + std::string(cancel ? cancel_suffix : "");
    call.reuse_connection = true;
    call.idle_timeout = answer_idle_timeout;
    client_->fetch(
        std::move(call), max_answer_bytes, exchange->sequence(),
        [this, location, exchange](const http_call_result& end, const http_response& answer) {
            auto body = parse_bounded_json(answer.body);
            if (end.end != http_call_outcome::complete || answer.status != 200 || !body || !body->is_object()) {
                reply_error(*exchange,
                            make_error(answer.status == 404 ? error_kind::generation_lost : error_kind::upstream_failed,
                                       "the engine did not return the response"));
                return;
            }
            (*body)["id"] = ids_.encode(location);
            exchange->reply(200, json_headers, body->dump());
        });
}

void gateway_daemon::list_endpoints(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    const auto view = agent_->current();
    const auto owner = authenticate_caller(request, view->configuration->merged);
    if (!owner) {
        reply_error(*exchange, owner.error());
        return;
    }
    endpoint_query query;
    // A random key, because callers that share an address would otherwise all get the same order.
    query.spread_key = random_hex(spread_key_bytes);
    query.availability_zone = zone_name(request.query("availability_zone"));
    nlohmann::json list = nlohmann::json::array();
    for (const auto& it : select_endpoints(view->members, query)) {
        // This host may already be leaving although the view of its agent does not show it yet.
        if (leaving_ && it.address == http_address()) {
            continue;
        }
        list.push_back({{"address", it.address}, {"availability_zone", it.availability_zone.str()}});
    }
    exchange->reply(200, json_headers,
                    nlohmann::json({{"endpoints", list},
                                    {"ttl_ms", settings_.endpoints_ttl.count()},
                                    {"bound_key_prefix", leaving_ ? std::string() : idempotency_->bound_prefix()}})
                        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void gateway_daemon::stop_requested()
{
    if (leaving_.exchange(true)) {
        log(log_level::warning, log_event::shutdown_forced,
            {{"open_requests", std::to_string(*context_->open_requests)}});
        pool_.stop();
        return;
    }
    log(log_level::info, log_event::shutdown_began, {{"open_requests", std::to_string(*context_->open_requests)}});
    agent_->report({"gateway", true, 0, http_address(), link_address()});
    http_server_->drain();
    const auto stop_accepting = [this] {
        http_server_->stop_accepting();
        exit_when_drained();
    };
    // Callers may use the address until the TTL of their last answer expires.
    run_when_withdrawn(
        pool_, counters_, [this] { return is_listed_by_others(); },
        [this, stop_accepting] {
            pool_.timers().after(settings_.endpoints_ttl + settings_.shutdown_skew, stop_accepting);
        });
}

bool gateway_daemon::is_listed_by_others() const
{
    const auto view = agent_->current();
    const auto listed = select_endpoints(view->members, {{}, {}, view->members.size()});
    return listed.size() > 1 && std::any_of(listed.begin(), listed.end(),
                                            [this](const endpoint& it) { return it.address == http_address(); });
}

void gateway_daemon::exit_when_drained()
{
    if (*context_->open_requests == 0 && http_server_->busy_connections() == 0) {
        schedulers_->report_progress();
        pool_.timers().after(final_report_delay, [this] { pool_.stop(); });
        return;
    }
    pool_.timers().after(drain_check_period, [this] { exit_when_drained(); });
}

} // namespace anvillead
