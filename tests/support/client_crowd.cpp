#include "tests/support/client_crowd.h"

#include <algorithm>
#include <stdexcept>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

namespace {

constexpr std::chrono::milliseconds quiet_time{1000};
constexpr std::chrono::milliseconds longest_send{30'000};
constexpr int poll_time_ms = 20;
constexpr std::size_t clients_between_samples = 200;

int connect_to(const sockaddr_in& endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        throw std::runtime_error("the test has no descriptors left");
    }
    // Not connected yet; the first send follows when it is writable.
    (void)::connect(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint));
    return socket;
}

} // namespace

client_crowd::client_crowd(const std::string& address, std::size_t clients,
                           const std::function<std::string(std::size_t)>& text)
{
    const auto colon = address.rfind(':');
    sockaddr_in endpoint = {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    for (std::size_t i = 0; i < clients; ++i) {
        clients_.push_back({connect_to(endpoint), text(i), 0});
        if (i % clients_between_samples == clients_between_samples - 1) {
            send_some();
        }
    }
}

client_crowd::~client_crowd()
{
    for (const auto& it : clients_) {
        if (it.socket >= 0) {
            ::close(it.socket);
        }
    }
}

std::size_t client_crowd::open() const
{
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const client& it) { return it.socket >= 0; }));
}

bool client_crowd::send_some()
{
    std::vector<pollfd> events;
    std::vector<client*> polled;
    for (auto& it : clients_) {
        if (it.socket >= 0) {
            const bool wants_to_send = it.sent < it.text.size();
            events.push_back({it.socket, static_cast<short>(wants_to_send ? POLLOUT : 0), 0});
            polled.push_back(&it);
        }
    }
    if (::poll(events.data(), events.size(), poll_time_ms) <= 0) {
        return false;
    }
    bool progress = false;
    for (std::size_t i = 0; i < events.size(); ++i) {
        auto& it = *polled[i];
        if ((events[i].revents & (POLLERR | POLLHUP)) != 0) {
            ::close(it.socket);
            it.socket = -1;
            progress = true;
            continue;
        }
        if ((events[i].revents & POLLOUT) == 0) {
            continue;
        }
        const auto n = ::send(it.socket, it.text.data() + it.sent, it.text.size() - it.sent, MSG_NOSIGNAL);
        if (n > 0) {
            it.sent += static_cast<std::size_t>(n);
            bytes_sent_ += static_cast<std::size_t>(n);
            progress = true;
        }
    }
    return progress;
}

void client_crowd::send_all(const std::function<void()>& sample)
{
    const auto end = std::chrono::steady_clock::now() + longest_send;
    auto last_progress = std::chrono::steady_clock::now();
    for (auto now = last_progress; now < end && now - last_progress < quiet_time;
         now = std::chrono::steady_clock::now()) {
        if (send_some()) {
            last_progress = now;
        }
        sample();
    }
}

} // namespace testing
