#include "tests/support/scripted_upstream.h"

#include <array>
#include <cerrno>
#include <cstdlib>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace testing {

namespace {

constexpr int backlog = 128;
// Longest time for which a call on a connection may block, after which the end of the test is noticed.
constexpr timeval call_timeout{0, 100'000};
constexpr const char* end_of_head = "\r\n\r\n";

bool timed_out(ssize_t count)
{
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

bool scripted_upstream::connection::send(const std::string& bytes)
{
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0 || errno == EAGAIN;
}

void scripted_upstream::connection::end_sending_and_read_on()
{
    ::shutdown(socket_, SHUT_WR);
    std::array<char, 4096> buf = {};
    for (auto n = ::recv(socket_, buf.data(), buf.size(), 0); n > 0; n = ::recv(socket_, buf.data(), buf.size(), 0)) {
    }
}

void scripted_upstream::connection::reset()
{
    const linger value{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
}

scripted_upstream::scripted_upstream(handler serve) : scripted_upstream(std::move(serve), options()) {}

scripted_upstream::scripted_upstream(handler serve, const options& value) : serve_(std::move(serve)), options_(value)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    if (options_.receive_buffer_bytes > 0) {
        // Connections inherit it.
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &options_.receive_buffer_bytes,
                     sizeof(options_.receive_buffer_bytes));
    }
    sockaddr_in endpoint = {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(endpoint);
    (void)::bind(listener_, reinterpret_cast<sockaddr*>(&endpoint), size);
    ::listen(listener_, backlog);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&endpoint), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(endpoint.sin_port));
    acceptor_ = std::thread([this] { accept_connections(); });
}

scripted_upstream::scripted_upstream(const std::string& answer, const std::string& repeated)
    : scripted_upstream([this, answer, repeated](const std::string&, connection& peer) {
          peer.send(answer);
          while (!repeated.empty() && !stopped_ && peer.send(repeated)) {
          }
      })
{}

scripted_upstream::~scripted_upstream()
{
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (auto& it : threads_) {
        it.join();
    }
    ::close(listener_);
}

void scripted_upstream::stop_listening()
{
    ::shutdown(listener_, SHUT_RDWR);
}

void scripted_upstream::accept_connections()
{
    while (!stopped_) {
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        ++connections_;
        ++open_connections_;
        threads_.emplace_back([this, socket] {
            serve_connection(socket);
            ::close(socket);
            --open_connections_;
        });
    }
}

bool scripted_upstream::read_request(int socket, std::string& received) const
{
    // Closing the socket with unread bytes would reset the connection, so the body is read, too.
    std::array<char, 4096> buf = {};
    while (!stopped_) {
        const auto head = received.find(end_of_head);
        if (head != std::string::npos) {
            if (options_.answers_early) {
                return true;
            }
            const auto length = std::strtoul(header_of(received, "Content-Length").c_str(), nullptr, 10);
            if (received.size() >= head + std::char_traits<char>::length(end_of_head) + length) {
                return true;
            }
        }
        const auto n = ::recv(socket, buf.data(), buf.size(), 0);
        if (timed_out(n)) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        received.append(buf.data(), static_cast<std::size_t>(n));
    }
    return false;
}

void scripted_upstream::serve_connection(int socket)
{
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &call_timeout, sizeof(call_timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &call_timeout, sizeof(call_timeout));
    connection peer(socket);
    do {
        peer.open_ = false;
        std::string request;
        if (!read_request(socket, request)) {
            return;
        }
        serve_(request, peer);
    } while (peer.open_ && !stopped_);
}

std::string header_of(const std::string& request, const std::string& name)
{
    const auto prefix = "\r\n" + name + ": ";
    const auto found = request.find(prefix);
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + prefix.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace testing
