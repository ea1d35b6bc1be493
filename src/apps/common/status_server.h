#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Serves /metrics, /healthz and /readyz of a daemon that has no HTTP interface of its own.
class status_server
{
public:
    /// Starts no server if `address` is empty. `ready` is called on a transport thread.
    status_server(worker_pool& pool, const std::string& address, metrics& counters, std::function<bool()> ready);

    /// Returns "address:port", or an empty string if there is no server.
    std::string address() const { return server_ ? server_->address() : std::string(); }

private:
    std::unique_ptr<ihttp_server> server_;
};

} // namespace anvillead
