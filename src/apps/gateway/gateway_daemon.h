#pragma once

#include <memory>

#include "apps/gateway/gateway_context.h"
#include "apps/gateway/gateway_keys.h"
#include "apps/gateway/service_proxy.h"
#include "transport/ihttp_server.h"
#include "transport/ilink.h"

namespace anvillead {

/// Routes callers' requests and keeps the gateway's shared tables.
class gateway_daemon
{
public:
    gateway_daemon(worker_pool& pool, gateway_settings settings);
    ~gateway_daemon();

    /// Starts the periodic tasks. The pool may run before.
    void start();
    /// Runs until a stop signal has been handled.
    void run();
    /// First call: announces the end and stops the pool once nothing is open. Second call: stops it at once.
    void stop_requested();
    std::string address() const { return server_->address(); }

private:
    void handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange);
    void create_response(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    /// The response with this id when it belongs to the caller.
    result<response_location> find_response(const http_request& request, std::string_view id,
                                            const document& configuration) const;
    void existing_response(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    void fetch_response(const response_location& location, const std::string& address, bool cancel,
                        const std::shared_ptr<ihttp_exchange>& exchange);
    void endpoints(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    bool ready() const;
    /// Address as callers and other gateways reach it.
    std::string http_address() const;
    /// Address of the links as other gateways reach it.
    std::string link_address() const;
    /// Answers `overloaded` when the bound on open requests is reached.
    bool has_room(const http_request& request, ihttp_exchange& exchange);
    /// Whether gateways of other hosts still send callers here, according to the last view.
    bool others_list_this() const;
    void exit_when_drained();

    worker_pool& pool_;
    gateway_settings settings_;
    metrics counters_;
    response_id_codec ids_;
    progress_table progress_{settings_.progress};
    retry_budget retries_;
    gap_table gaps_;
    std::unique_ptr<ihttp_client> client_;
    std::unique_ptr<scheduler_links> schedulers_;
    std::unique_ptr<agent_link> agent_;
    std::unique_ptr<gateway_context> context_;
    std::unique_ptr<gateway_keys> keys_;
    std::unique_ptr<service_proxy> services_;
    std::unique_ptr<ilink_server> links_;
    std::unique_ptr<ihttp_server> server_;
    std::atomic<bool> leaving_{false};
};

} // namespace anvillead
