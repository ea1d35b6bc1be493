#include "transport/tests/raw_client.h"

#include <cerrno>
#include <cstdio>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace anvillead {

raw_client::raw_client(const std::string& address, int receive_buffer)
{
    const auto colon = address.rfind(':');
    sockaddr_in endpoint = {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
        std::perror("connect");
    }
}

raw_client::~raw_client()
{
    close();
}

bool raw_client::send(std::string_view data)
{
    while (!data.empty()) {
        const auto n = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string raw_client::read_until(std::string_view marker, milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::array<char, 16 * 1024> buf = {};
    while (marker.empty() || received_.find(marker) == std::string::npos) {
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        pollfd event = {socket_, POLLIN, 0};
        if (remaining <= 0 || ::poll(&event, 1, static_cast<int>(remaining)) <= 0) {
            break;
        }
        const auto n = ::recv(socket_, buf.data(), buf.size(), 0);
        if (n <= 0) {
            reset_ = n < 0 && errno == ECONNRESET;
            break;
        }
        received_.append(buf.data(), static_cast<std::size_t>(n));
    }
    return std::move(received_);
}

std::string raw_client::read_some(std::size_t most, milliseconds timeout)
{
    std::string out(most, '\0');
    pollfd event = {socket_, POLLIN, 0};
    const auto n = ::poll(&event, 1, static_cast<int>(timeout.count())) > 0 ? ::recv(socket_, out.data(), most, 0) : 0;
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
}

void raw_client::end_sending()
{
    ::shutdown(socket_, SHUT_WR);
}

void raw_client::close()
{
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

std::string send_raw_request(const std::string& address, std::string_view data)
{
    raw_client client(address);
    client.send(data);
    return client.read_all();
}

} // namespace anvillead
