#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "standins/fault_proxy/datagram_route.h"
#include "standins/fault_proxy/route.h"

namespace standin {

/// HTTP control interface of the proxy.
/// `POST /routes` {"name", "target", "datagrams"} opens a route, or finds the one with this name and changes its
/// target, and returns {"address"}. `POST /control` {"route": NAME, faults...} changes the faults of a route; a name
/// that ends with "*" matches all names with that prefix. `GET /routes` returns the counts of each route.
class proxy_server
{
public:
    proxy_server(anvillead::worker_pool& pool, const standin_options& options);
    ~proxy_server();

    std::string address() const { return server_->address(); }

private:
    /// Opens or retargets the route named in the body of /routes and returns its address.
    std::string open(const nlohmann::json& body);
    int handle(const anvillead::http_request& request, nlohmann::json& answer);

    /// Routes and their connections run on this context's single thread.
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
    std::map<std::string, std::unique_ptr<route>> routes_;
    std::map<std::string, std::unique_ptr<datagram_route>> datagram_routes_;
    anvillead::metrics counters_;
    std::unique_ptr<anvillead::ihttp_server> server_;
    std::thread thread_;
};

} // namespace standin
