#include "tests/support/port_reservation.h"

#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

port_reservation::port_reservation() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot bind a loopback port");
    }
    address_ = fmt::format("127.0.0.1:{}", ntohs(name.sin_port));
}

port_reservation::~port_reservation()
{
    ::close(socket_);
}

} // namespace testing
