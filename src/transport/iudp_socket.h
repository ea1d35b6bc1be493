#pragma once

#include <functional>
#include <memory>
#include <string>

#include "transport/worker_pool.h"

namespace anvillead {

/// UDP socket for membership probes. Datagrams may be lost without an error.
class iudp_socket
{
public:
    virtual ~iudp_socket() = default;
    virtual std::string address() const = 0;
    virtual void send(const std::string& address, std::string payload) = 0;
};

/// Binds a socket to `address`; throws std::system_error if that fails. `on_receive` runs on `sequence` and gets the
/// sender's "address:port".
std::unique_ptr<iudp_socket> make_udp_socket(worker_pool& pool, const std::string& address,
                                             std::shared_ptr<isequence> sequence,
                                             std::function<void(std::string from, std::string payload)> on_receive);

} // namespace anvillead
