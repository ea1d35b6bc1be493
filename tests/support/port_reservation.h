#pragma once

#include <string>

namespace testing {

/// A TCP port on loopback that the kernel chose. While this object exists no other process gets it from the kernel,
/// also not while the process that listens on it is down; that process binds it by its number, with SO_REUSEADDR.
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
