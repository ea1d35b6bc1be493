#include "standins/fault_proxy/proxy_server.h"

#include <boost/asio/post.hpp>

#include "core/bounded_json.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

bool matches(const std::string& pattern, const std::string& name)
{
    if (!pattern.empty() && pattern.back() == '*') {
        return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    }
    return name == pattern;
}

/// Finds or opens the named route and returns its address.
template <typename Route>
std::string open_route(std::map<std::string, std::unique_ptr<Route>>& routes, boost::asio::io_context& io,
                       const json& body)
{
    auto& it = routes[body.value("name", "")];
    const auto target = body.value("target", "");
    if (!it) {
        it = std::make_unique<Route>(io, target);
    } else if (!target.empty()) {
        it->set_target(target);
    }
    return it->address();
}

template <typename Route>
int control_routes(std::map<std::string, std::unique_ptr<Route>>& routes, const json& body)
{
    int found = 0;
    for (const auto& [name, it] : routes) {
        if (matches(body.value("route", ""), name)) {
            it->control(body);
            ++found;
        }
    }
    return found;
}

} // namespace

proxy_server::proxy_server(worker_pool& pool, const standin_options& options)
{
    server_ = make_http_server(
        pool, {options.listen, {}},
        [this](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
            boost::asio::post(io_, [this, request, exchange] {
                json body;
                const int status = handle(request, body);
                exchange->sequence()->post([exchange, status, body] { reply_json(*exchange, status, body); });
            });
        },
        counters_);
    thread_ = std::thread([this] { io_.run(); });
}

proxy_server::~proxy_server()
{
    io_.stop();
    thread_.join();
}

std::string proxy_server::open(const json& body)
{
    return body.value("datagrams", false) ? open_route(datagram_routes_, io_, body) : open_route(routes_, io_, body);
}

int proxy_server::handle(const http_request& request, json& answer)
{
    const auto body = parse_bounded_json(request.body).value_or(json::object());
    if (request.path() == "/routes" && request.method == "GET") {
        for (const auto& [name, it] : routes_) {
            answer[name] = it->counts();
        }
        for (const auto& [name, it] : datagram_routes_) {
            answer[name] = it->counts();
        }
        return 200;
    }
    if (request.path() == "/routes") {
        answer = {{"address", open(body)}};
        return 200;
    }
    const int found = control_routes(routes_, body) + control_routes(datagram_routes_, body);
    answer = {{"routes", found}};
    return request.path() == "/control" && found > 0 ? 200 : 404;
}

} // namespace standin
