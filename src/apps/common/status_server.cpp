#include "apps/common/status_server.h"

namespace anvillead {

namespace {

// Monitoring systems open a few connections; the limit protects the daemon from a faulty client.
constexpr std::size_t connection_limit = 64;

} // namespace

status_server::status_server(worker_pool& pool, const std::string& address, metrics& counters,
                             std::function<bool()> ready)
{
    if (address.empty()) {
        return;
    }
    http_server_options options;
    options.address = address;
    options.limits.connections = connection_limit;
    const auto handle = [&counters, ready = std::move(ready)](const http_request& request,
                                                              const std::shared_ptr<ihttp_exchange>& exchange) {
        const auto path = request.path();
        if (path == "/healthz") {
            exchange->reply(200, {}, "ok\n");
        } else if (path == "/readyz") {
            const bool is_ready = ready();
            exchange->reply(is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not ready\n");
        } else if (path == "/metrics") {
            exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, counters.text());
        } else {
            reply_error(*exchange, make_error(error_kind::not_found, "no such path"));
        }
    };
    server_ = make_http_server(pool, options, handle, counters);
}

} // namespace anvillead
