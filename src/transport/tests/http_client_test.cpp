#include "transport/ihttp_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

// Largest response head that the client accepts.
constexpr std::size_t max_head_bytes = 8 * 1024;

/// Returns a listening socket on a port chosen by the kernel, and its address.
int listen_on_loopback(std::string& address)
{
    constexpr int backlog = 8;
    const int out = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in endpoint = {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(endpoint);
    (void)::bind(out, reinterpret_cast<sockaddr*>(&endpoint), size);
    ::listen(out, backlog);
    ::getsockname(out, reinterpret_cast<sockaddr*>(&endpoint), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(endpoint.sin_port));
    return out;
}

/// Accepts one connection and sends `prefix`, then `repeated` until `bytes` bytes of it are sent, then `suffix`. Pauses
/// after each part, so that the client reads the parts separately.
class scripted_server
{
public:
    scripted_server(const std::string& prefix, const std::string& repeated, std::size_t bytes,
                    const std::string& suffix)
    {
        std::vector<std::string> parts = {prefix};
        for (std::size_t sent = 0; sent < bytes; sent += repeated.size()) {
            parts.push_back(repeated);
        }
        parts.push_back(suffix);
        listener_ = listen_on_loopback(address_);
        thread_ = std::thread([this, parts = std::move(parts)] {
            const int socket = ::accept(listener_, nullptr, nullptr);
            // Closing the socket with unread bytes would reset the connection, and the call would fail for that reason.
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

    ~scripted_server()
    {
        thread_.join();
        ::close(listener_);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    const std::string& address() const { return address_; }

private:
    int listener_ = -1;
    std::string address_;
    std::thread thread_;
};

/// Answers each request on a connection that stays open, and sends `unasked` after each answer.
class keep_alive_server
{
public:
    explicit keep_alive_server(std::string unasked) : unasked_(std::move(unasked))
    {
        listener_ = listen_on_loopback(address_);
        acceptor_ = std::thread([this] {
            for (int socket = ::accept(listener_, nullptr, nullptr); socket >= 0;
                 socket = ::accept(listener_, nullptr, nullptr)) {
                ++connections_;
                threads_.emplace_back([this, socket] { serve(socket); });
            }
        });
    }

    /// The clients must have closed their connections.
    ~keep_alive_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        for (auto& it : threads_) {
            it.join();
        }
        ::close(listener_);
    }
    keep_alive_server(const keep_alive_server&) = delete;
    keep_alive_server& operator=(const keep_alive_server&) = delete;

    const std::string& address() const { return address_; }
    int connections() const { return connections_; }
    int unasked_sent() const { return unasked_sent_; }

private:
    void serve(int socket)
    {
        std::array<char, 1024> request = {};
        while (::recv(socket, request.data(), request.size(), 0) > 0) {
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nasked";
            ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (!unasked_.empty()) {
                // In a segment of its own, after the client has read the answer.
                std::this_thread::sleep_for(milliseconds(20));
                ::send(socket, unasked_.data(), unasked_.size(), MSG_NOSIGNAL);
                ++unasked_sent_;
            }
        }
        ::close(socket);
    }

    std::string unasked_;
    int listener_ = -1;
    std::string address_;
    std::atomic<int> connections_{0};
    std::atomic<int> unasked_sent_{0};
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

struct fetch_result
{
    http_call_result call_result;
    http_response response;
};

fetch_result fetch(worker_pool& pool, ihttp_client& client, http_call_request request)
{
    std::promise<fetch_result> completed;
    client.fetch(std::move(request), 1024, pool.make_sequence(),
                 [&](const http_call_result& call_result, const http_response& response) {
                     completed.set_value({call_result, response});
                 });
    return completed.get_future().get();
}

fetch_result fetch(worker_pool& pool, ihttp_client& client, const std::string& address)
{
    http_call_request request;
    request.address = address;
    request.reuse_connection = true;
    return fetch(pool, client, std::move(request));
}

fetch_result fetch(const std::string& address, http_call_request request = {})
{
    worker_pool pool{1};
    const auto client = make_http_client(pool);
    pool.start();
    request.address = address;
    auto out = fetch(pool, *client, std::move(request));
    pool.stop();
    pool.join();
    return out;
}

/// Makes two calls on kept connections, the second one once the server has sent its unasked bytes, if it sends any.
/// Returns the second result and the number of connections.
std::pair<fetch_result, int> fetch_twice(const std::string& unasked)
{
    keep_alive_server server(unasked);
    worker_pool pool{1};
    auto client = make_http_client(pool);
    pool.start();
    fetch(pool, *client, server.address());
    while (!unasked.empty() && server.unasked_sent() == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    auto out = fetch(pool, *client, server.address());
    const int connections = server.connections();
    pool.stop();
    pool.join();
    client.reset();
    return {out, connections};
}

} // namespace

TEST_GROUP(http_client_test){};

// Guards against unbounded memory use by a response head that never ends: a limit on the unparsed part alone does not
// stop a sequence of complete short lines.
TEST(http_client_test, a_head_of_short_lines_above_the_limit_is_rejected)
{
    std::string lines;
    for (int i = 0; i < 50; ++i) {
        lines += ": y\r\nX";
    }
    for (const std::size_t bytes : {max_head_bytes + lines.size(), 4 * max_head_bytes}) {
        const scripted_server server("HTTP/1.1 200 OK\r\nX", lines, bytes, ": y\r\nContent-Length: 0\r\n\r\n");
        const auto out = fetch(server.address());
        CHECK(out.call_result.end == http_call_outcome::lost);
        LONGS_EQUAL(0, out.response.status);
    }
}

// Guards against unbounded memory use by a header line that never ends.
TEST(http_client_test, a_header_line_above_the_limit_is_rejected)
{
    const scripted_server server("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'a'), 4 * max_head_bytes, "\r\n\r\n");
    CHECK(fetch(server.address()).call_result.end == http_call_outcome::lost);
}

// Guards against a chunk line or trailers without end that fill the memory of a host: they are no part of the body, so
// no limit of the body applies.
TEST(http_client_test, framing_of_a_body_above_the_limit_is_rejected)
{
    constexpr std::size_t bytes = 64 * 1024;
    const std::string filler(1000, 'a');
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const scripted_server chunk_line(head + "1;x=", filler, bytes, "\r\na\r\n0\r\n\r\n");
    CHECK(fetch(chunk_line.address()).call_result.end == http_call_outcome::lost);
    const scripted_server trailers(head + "1\r\na\r\n0\r\n", "X: " + filler + "\r\n", bytes, "\r\n");
    CHECK(fetch(trailers.address()).call_result.end == http_call_outcome::lost);
}

// Guards against a peer that sends interim responses for ever instead of an answer.
TEST(http_client_test, interim_responses_above_the_limit_of_a_head_are_rejected)
{
    std::string interim;
    for (int i = 0; i < 10; ++i) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const scripted_server few(interim, "", 0, answer);
    CHECK(fetch(few.address()).call_result.end == http_call_outcome::complete);
    const scripted_server endless("", interim, 4 * max_head_bytes, answer);
    CHECK(fetch(endless.address()).call_result.end == http_call_outcome::lost);
}

// Guards against bytes that a peer sends on an idle connection and that are taken for the answer to the next request: a
// refusal that is repeated there would promise that a request has not run which the peer runs.
TEST(http_client_test, connection_with_unasked_bytes_is_not_used_again)
{
    const auto [kept, kept_connections] = fetch_twice("");
    STRCMP_EQUAL("asked", kept.response.body.c_str());
    LONGS_EQUAL(1, kept_connections);
    const auto [out, connections] = fetch_twice("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    LONGS_EQUAL(200, out.response.status);
    STRCMP_EQUAL("asked", out.response.body.c_str());
    LONGS_EQUAL(2, connections);
}

// Guards against an answer that counts as whole although its head was cut.
TEST(http_client_test, answer_that_ends_in_its_head_is_lost)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t i = 1; i < head.size(); ++i) {
        const scripted_server server(head.substr(0, i), "", 0, "");
        const auto out = fetch(server.address());
        CHECK(out.call_result.end == http_call_outcome::lost);
        LONGS_EQUAL(0, out.response.status);
    }
}

// Guards against a head line that is joined to the field before it, and against a refusal that does not say why.
TEST(http_client_test, invalid_head_is_lost_and_its_field_is_named)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string end = "Content-Length: 0\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
        {status + "Stamp: s\r\n t\r\n" + end, "byte 0x20 at the beginning of the line after field \"Stamp\""},
        {status + "St amp: s\r\n" + end, "byte 0x20 in the name of field \"St amp\""},
        {status + "Stamp: s\x02\r\n" + end, "byte 0x02 in the value of field \"Stamp\""},
        {status + "Stamp\r\n" + end, "line \"Stamp\" without a colon"},
        {status + "Transfer-Encoding: xchunked\r\n\r\n", "field Transfer-Encoding does not name chunked alone"},
        {"HTTP/1.1 999 OK\r\n" + end, "status 999"},
        {"HTTP/1.1 2000 OK\r\n" + end, "start line \"HTTP/1.1 2000 OK\""}};
    for (const auto& [answer, problem] : cases) {
        const scripted_server server(answer, "", 0, "");
        const auto out = fetch(server.address());
        CHECK(out.call_result.end == http_call_outcome::lost);
        LONGS_EQUAL(0, out.response.status);
        STRCMP_EQUAL(problem.c_str(), out.call_result.detail.c_str());
    }
}

// Guards against a name of another program that ends a line of a request and begins another field or request.
TEST(http_client_test, request_that_would_be_read_as_another_is_not_sent)
{
    struct invalid_request
    {
        std::string target;
        http_headers headers;
        std::string problem;
    };
    const std::vector<invalid_request> cases = {
        {"/a b", {}, "byte 0x20 in the target \"/a b\""},
        {"/a HTTP/1.1\r\nX: y", {}, "byte 0x20 in the target \"/a HTTP/1.1[0x0d][0x0a]X: y\""},
        {"/a\r\n", {}, "byte 0x0d in the target \"/a[0x0d][0x0a]\""},
        {"/\x7f", {}, "byte 0x7f in the target \"/[0x7f]\""},
        {"/", {{"Id", "a\r\nX: y"}}, "byte 0x0d in the value of field \"Id\""},
        {"/", {{"Id", std::string(1, '\0')}}, "byte 0x00 in the value of field \"Id\""},
        {"/", {{"I d", "a"}}, "byte 0x20 in the name of field \"I d\""}};
    for (const auto& [target, headers, problem] : cases) {
        http_call_request request;
        request.target = target;
        request.headers = headers;
        const keep_alive_server server("");
        const auto out = fetch(server.address(), request);
        CHECK(out.call_result.end == http_call_outcome::connect_failed);
        CHECK(!out.call_result.may_have_been_sent);
        STRCMP_EQUAL(problem.c_str(), out.call_result.detail.c_str());
        LONGS_EQUAL(0, server.connections());
    }
}

// Guards against a limit that rejects heads of the permitted size, and against body bytes that are lost while the head
// is parsed.
TEST(http_client_test, a_head_at_the_limit_is_read_with_its_body)
{
    const std::string prefix = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: ";
    const std::string suffix = "\r\n\r\n";
    const std::string head = prefix + std::string(max_head_bytes - prefix.size() - suffix.size(), 'a') + suffix;
    const scripted_server server(head + "body", "", 0, "");
    const auto out = fetch(server.address());
    CHECK(out.call_result.end == http_call_outcome::complete);
    LONGS_EQUAL(200, out.response.status);
    STRCMP_EQUAL("body", out.response.body.c_str());
}
