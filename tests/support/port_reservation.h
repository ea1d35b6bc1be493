#pragma once

#include <string>

namespace testing {

/// Reserves a TCP port on loopback chosen by the kernel. While this object exists, the kernel gives the port to no
/// other process, even while the process that listens on it is down; that process binds it by number with SO_REUSEADDR.
class port_reservation
{
public:
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// "127.0.0.1:PORT"
    const std::string& address() const { return address_; }

private:
    int socket_ = -1;
    std::string address_;
};

} // namespace testing
