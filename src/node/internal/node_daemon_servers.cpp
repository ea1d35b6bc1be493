#include "node/node_daemon.h"

#include <algorithm>

#include "node/client_limits.h"
#include "node/quarantine_endpoint.h"
#include "platform/entry_calls.h"
#include "routing/endpoint_selection.h"

namespace anvillead {

namespace {

constexpr std::size_t max_endpoints = 64;
// With fewer hosts than this in its zone, a caller also gets hosts of other zones, so that it has an alternative.
constexpr std::size_t min_zone_endpoints = 2;

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_service_unavailable = 503;

} // namespace

void node_daemon::start_servers()
{
    client_budget_ = std::make_shared<client_budget>(client_limit(settings_));
    const auto listen = [this](const std::string& address, http_handler handler) {
        auto options = service_port_options(client_budget_);
        options.address = address;
        return make_http_server(pool_, options, std::move(handler), counters_);
    };
    auto frontend = frontend_options(client_budget_);
    frontend.address = settings_.frontend;
    frontend.check_head = [this](const http_request& request) { return callers_.check_head(request); };
    frontend_ = make_http_server(
        pool_, frontend,
        [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
            callers_.handle(std::move(request), exchange);
        },
        counters_);
    readiness_ = listen(settings_.readiness, [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
        if (platform::is_readiness_probe(request)) {
            answer_readiness(*exchange);
        } else {
            exchange->reply(http_not_found, {}, {});
        }
    });
    discovery_ = listen(settings_.directory, [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
        answer_endpoint_request(request, *exchange);
    });
    if (!settings_.metrics.empty()) {
        metrics_ = listen(settings_.metrics, [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
            answer_control(request, *exchange);
        });
    }
    control_ = listen(settings_.control, [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
        answer_control(request, *exchange);
    });
}

void node_daemon::answer_endpoint_request(const http_request& request, ihttp_exchange& exchange)
{
    const auto query = platform::parse_resolve_request(request);
    if (!query) {
        exchange.reply(http_not_found, {}, {});
        return;
    }
    const auto& addresses = endpoints_for(query->availability_zone);
    if (addresses.empty()) {
        exchange.reply(http_service_unavailable, {}, {});
        return;
    }
    const auto time_to_live = std::min(endpoint_time_to_live, settings_.max_endpoint_age);
    exchange.reply(http_ok, {{"Content-Type", "application/json"}},
                   platform::resolve_response_body(addresses, time_to_live));
}

std::vector<member> node_daemon::hosts_for_callers(const host_report& self) const
{
    auto hosts = context_.peers.live();
    hosts.push_back(&self);
    const auto serves = [](const host_report* it) { return it->ready && !it->leaving && !it->without_path; };
    // If no host reaches the upstreams, all are named: callers get a refusal rather than no address.
    const bool any_serves = std::any_of(hosts.begin(), hosts.end(), serves);
    std::vector<member> out;
    for (const auto* it : hosts) {
        if (!any_serves || serves(it)) {
            out.push_back(to_member(*it));
        }
    }
    return out;
}

const std::vector<std::string>& node_daemon::endpoints_for(const zone_name& zone)
{
    const bool without_path = context_.paths.any_lost();
    const std::tuple<std::uint64_t, bool, bool, bool> version{context_.peers.version(), ready(), context_.leaving,
                                                              without_path};
    if (std::exchange(endpoints_version_, version) != version) {
        endpoints_.clear();
    }
    const auto [cached, missing] = endpoints_.try_emplace(zone);
    auto& out = cached->second;
    if (!missing) {
        return out;
    }
    host_report self;
    self.host = settings_.host;
    self.availability_zone = settings_.availability_zone;
    self.addresses.frontend = settings_.frontend;
    self.ready = ready();
    self.leaving = context_.leaving;
    self.without_path = without_path;
    const auto members = hosts_for_callers(self);
    endpoint_query query;
    query.availability_zone = zone;
    query.most = max_endpoints;
    const auto selected = select_endpoints(members, query);
    const auto in_zone = static_cast<std::size_t>(std::count_if(
        selected.begin(), selected.end(), [&zone](const endpoint& it) { return it.availability_zone == zone; }));
    const auto count = in_zone >= min_zone_endpoints ? in_zone : selected.size();
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(selected[i].address);
    }
    return out;
}

void node_daemon::answer_readiness(ihttp_exchange& exchange)
{
    exchange.reply(ready() ? http_ok : http_service_unavailable, {}, {});
}

void node_daemon::answer_control(const http_request& request, ihttp_exchange& exchange)
{
    if (const auto query = parse_state_request(request)) {
        exchange.reply(http_ok, {{"Content-Type", "application/json"}},
                       encode_update(make_update(feed_.state(), *query)));
    } else if (const auto answer = answer_quarantine_request(*context_.quarantine, request)) {
        exchange.reply(answer->status, {{"Content-Type", "application/json"}}, answer->body);
    } else if (request.method == "GET" && request.path() == "/evacuations") {
        exchange.reply(http_ok, {{"Content-Type", "application/json"}}, feed_.describe_evacuations());
    } else if (request.path() == "/metrics") {
        exchange.reply(http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, counters_.text());
    } else {
        exchange.reply(http_not_found, {}, {});
    }
}

} // namespace anvillead
