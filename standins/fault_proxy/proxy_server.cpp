#include "standins/fault_proxy/proxy_server.h"

#include <boost/asio/post.hpp>

#include "core/bounded_json.h"

namespace standin {

namespace {

using namespace anvillead;
using nlohmann::json;

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

int proxy_server::handle(const http_request& request, json& answer)
{
    const auto body = parse_bounded_json(request.body).value_or(json::object());
    if (request.path() == "/routes" && request.method == "GET") {
        for (const auto& [name, it] : routes_) {
            answer[name] = it->counts();
        }
        return 200;
    }
    if (request.path() == "/routes") {
        auto& it = routes_[body.value("name", "")];
        if (!it) {
            it = std::make_unique<route>(io_, body.value("target", ""));
        }
        answer = {{"address", it->address()}};
        return 200;
    }
    const auto name = body.value("route", "");
    int found = 0;
    for (const auto& [key, it] : routes_) {
        if (name == "*" || name == key) {
            it->control(body);
            ++found;
        }
    }
    answer = {{"routes", found}};
    return request.path() == "/control" && found > 0 ? 200 : 404;
}

} // namespace standin
