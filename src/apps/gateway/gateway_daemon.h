#pragma once

#include <memory>

#include "apps/gateway/gateway_context.h"
#include "apps/gateway/idempotency_manager.h"
#include "apps/gateway/service_proxy.h"
#include "transport/ihttp_server.h"
#include "transport/ilink.h"

namespace anvillead {

/// Routes requests of callers and owns the shared tables of the gateway.
class gateway_daemon
{
public:
    gateway_daemon(worker_pool& pool, gateway_settings settings);
    ~gateway_daemon();

    /// Starts the periodic tasks. The pool may already be running.
    void start();
    /// Runs until a stop signal has been handled.
    void run();
    /// The first call starts a graceful shutdown, which stops the pool when no request is open. The second call stops
    /// the pool immediately.
    void stop_requested();
    std::string address() const { return http_server_->address(); }

private:
    void handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange);
    void create_response(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    /// Returns the location of the response with this id if it belongs to the caller.
    result<response_location> find_response(const http_request& request, std::string_view id,
                                            const document& configuration) const;
    void handle_existing_response(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    void fetch_response(const response_location& location, const std::string& address, bool cancel,
                        const std::shared_ptr<ihttp_exchange>& exchange);
    void list_endpoints(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    bool ready() const;
    /// HTTP address for callers and other gateways.
    std::string http_address() const;
    /// Link address for other gateways.
    std::string link_address() const;
    /// Responds with `overloaded` and returns false when the limit of open requests is reached.
    bool check_capacity(const http_request& request, ihttp_exchange& exchange);
    /// Returns whether gateways of other hosts still list this gateway as an endpoint, according to the last view.
    bool is_listed_by_others() const;
    void exit_when_drained();

    worker_pool& pool_;
    gateway_settings settings_;
    metrics counters_;
    response_id_codec ids_;
    progress_table progress_{settings_.progress};
    retry_budget retries_;
    token_gap_table gaps_;
    std::unique_ptr<ihttp_client> client_;
    std::unique_ptr<scheduler_links> schedulers_;
    std::unique_ptr<agent_link> agent_;
    std::unique_ptr<gateway_context> context_;
    std::unique_ptr<idempotency_manager> idempotency_;
    std::unique_ptr<service_proxy> services_;
    std::unique_ptr<ilink_server> link_server_;
    std::unique_ptr<ihttp_server> http_server_;
    std::atomic<bool> leaving_{false};
};

} // namespace anvillead
