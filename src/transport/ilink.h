#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// A message connection between two processes of this system. Methods may be called from any thread.
class ilink
{
public:
    virtual ~ilink() = default;
    virtual void send(std::string payload) = 0;
    virtual void close(const std::string& reason) = 0;
    /// Accepted links: the identity "role/host/incarnation" that the peer proved in the handshake. Links opened by this
    /// process: the peer's address.
    virtual const std::string& peer() const = 0;
};

using link_ptr = std::shared_ptr<ilink>;

struct link_handlers
{
    std::function<void(const link_ptr&)> on_open;
    std::function<void(const link_ptr&, std::string payload)> on_message;
    std::function<void(const link_ptr&)> on_closed;
};

/// Options of both link servers and link clients.
struct link_options
{
    /// This process authenticates with the first key and accepts any of them from a peer.
    std::vector<std::string> fleet_keys;
    /// "role/host/incarnation" of this process.
    std::string identity;
    std::size_t max_message_bytes = 4 * 1024 * 1024;
    /// A link with more unsent bytes than this is closed.
    std::size_t max_unsent_bytes = 32 * 1024 * 1024;
};

class ilink_server
{
public:
    virtual ~ilink_server() = default;
    virtual std::string address() const = 0;
    virtual void stop() = 0;
};

/// Maintains one link to an address; reconnects with jittered exponential backoff until it is stopped or destroyed.
class ilink_client
{
public:
    virtual ~ilink_client() = default;
    /// The open link, or null if there is none.
    virtual link_ptr current() const = 0;
    virtual const std::string& address() const = 0;
    virtual void stop() = 0;
};

/// Throws std::system_error if the address cannot be bound.
std::unique_ptr<ilink_server> make_link_server(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters);
std::shared_ptr<ilink_client> make_link_client(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters);

} // namespace anvillead
