#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// A message link between two of the system's own processes. Methods may be called from any thread.
class ilink
{
public:
    virtual ~ilink() = default;
    virtual void send(std::string payload) = 0;
    virtual void close(const std::string& reason) = 0;
    /// Identity that the peer proved at the handshake: "role/host/incarnation" for accepted links, the address for
    /// links that this process opened.
    virtual const std::string& peer() const = 0;
};

using link_ptr = std::shared_ptr<ilink>;

struct link_handlers
{
    std::function<void(const link_ptr&)> on_open;
    std::function<void(const link_ptr&, std::string payload)> on_message;
    std::function<void(const link_ptr&)> on_closed;
};

/// What both ends of a link need.
struct link_options
{
    /// The first key proves this process; any of them is accepted from a peer.
    std::vector<std::string> fleet_keys;
    /// "role/host/incarnation" of this process.
    std::string identity;
    std::size_t message_bytes = 4 * 1024 * 1024;
    /// A peer with more unsent bytes than this is disconnected.
    std::size_t unsent_bytes = 32 * 1024 * 1024;
};

class ilink_server
{
public:
    virtual ~ilink_server() = default;
    virtual std::string address() const = 0;
    virtual void stop() = 0;
};

/// Keeps one link to an address and reconnects with jittered backoff until it is destroyed.
class ilink_client
{
public:
    virtual ~ilink_client() = default;
    /// The open link, or null.
    virtual link_ptr current() const = 0;
    virtual const std::string& address() const = 0;
    virtual void stop() = 0;
};

/// Throws std::system_error when the address cannot be bound.
std::unique_ptr<ilink_server> make_link_server(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters);
std::shared_ptr<ilink_client> make_link_client(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters);

} // namespace anvillead
