#include "transport/ihttp_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <string>
#include <thread>
#include <vector>

// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

// Bytes of an answer's head that the client reads at most.
constexpr std::size_t head_limit = 8 * 1024;

/// Answers one connection with `start`, with `piece` again and again until `bytes` of it are sent, and with `end`.
/// Pauses after each part, so that the client reads them one by one.
class raw_server
{
public:
    raw_server(const std::string& start, const std::string& piece, std::size_t bytes, const std::string& end)
    {
        std::vector<std::string> parts = {start};
        for (std::size_t sent = 0; sent < bytes; sent += piece.size()) {
            parts.push_back(piece);
        }
        parts.push_back(end);
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = {};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(at);
        (void)::bind(listener_, reinterpret_cast<sockaddr*>(&at), size);
        ::listen(listener_, 1);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        thread_ = std::thread([this, parts = std::move(parts)] {
            const int socket = ::accept(listener_, nullptr, nullptr);
            // Closing with unread bytes would reset the connection, which the client takes for a lost answer.
            std::array<char, 1024> request = {};
            if (::recv(socket, request.data(), request.size(), 0) < 0) {
                return;
            }
            for (const auto& it : parts) {
                if (::send(socket, it.data(), it.size(), MSG_NOSIGNAL) < 0) {
                    break;
                }
                std::this_thread::sleep_for(milliseconds(1));
            }
            ::close(socket);
        });
    }

    ~raw_server()
    {
        thread_.join();
        ::close(listener_);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    const std::string& address() const { return address_; }

private:
    int listener_ = -1;
    std::string address_;
    std::thread thread_;
};

struct answer
{
    http_call_end end;
    http_answer value;
};

answer fetch(const std::string& address)
{
    worker_pool pool{1};
    const auto client = make_http_client(pool);
    pool.start();
    std::promise<answer> done;
    http_call_request request;
    request.address = address;
    client->fetch(std::move(request), 1024, pool.make_sequence(),
                  [&](const http_call_end& end, const http_answer& value) {
                      done.set_value({end, value});
                  });
    auto out = done.get_future().get();
    pool.stop();
    pool.join();
    return out;
}

} // namespace

TEST_GROUP(http_client_test){};

// Guards against a server whose answer head never ends: complete short lines pass a limit on the unparsed part, and
// their fields fill the memory.
TEST(http_client_test, a_head_of_short_lines_is_stopped_at_the_limit)
{
    std::string lines;
    for (int i = 0; i < 50; ++i) {
        lines += ": y\r\nX";
    }
    for (const std::size_t bytes : {head_limit + lines.size(), 4 * head_limit}) {
        const raw_server server("HTTP/1.1 200 OK\r\nX", lines, bytes, ": y\r\nContent-Length: 0\r\n\r\n");
        const auto out = fetch(server.address());
        CHECK(out.end.end == http_end::lost);
        LONGS_EQUAL(0, out.value.status);
    }
}

// Guards against one endless line.
TEST(http_client_test, a_long_line_is_stopped_at_the_limit)
{
    const raw_server server("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'a'), 4 * head_limit, "\r\n\r\n");
    CHECK(fetch(server.address()).end.end == http_end::lost);
}

// Guards against a limit that refuses the heads of ordinary answers, and against a body that the head's reader loses.
TEST(http_client_test, a_head_at_the_limit_is_read_with_its_body)
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: ";
    const std::string end = "\r\n\r\n";
    const std::string head = start + std::string(head_limit - start.size() - end.size(), 'a') + end;
    const raw_server server(head + "body", "", 0, "");
    const auto out = fetch(server.address());
    CHECK(out.end.end == http_end::complete);
    LONGS_EQUAL(200, out.value.status);
    STRCMP_EQUAL("body", out.value.body.c_str());
}
