#include "transport/ihttp_server.h"

#include <atomic>
#include <system_error>
#include <thread>

#include <fmt/format.h>

#include "transport/ilink.h"
#include "transport/tests/raw_client.h"
// CppUTest redefines new, so its header comes after those of the standard library.
#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

bool eventually(const std::function<bool()>& condition, milliseconds bound = milliseconds(2000))
{
    const auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

void ignore_request(const http_request&, const std::shared_ptr<ihttp_exchange>&) {}

/// A server with low limits on a port chosen by the kernel.
struct server_fixture
{
    worker_pool pool{2};
    metrics counters;
    std::unique_ptr<ihttp_server> server;
    std::atomic<int> disconnects{0};

    explicit server_fixture(http_handler handler)
    {
        http_limits limits;
        limits.header_bytes = 2048;
        limits.body_bytes = 4096;
        limits.connections = 4;
        limits.request_timeout = milliseconds(200);
        limits.write_timeout = milliseconds(300);
        server = make_http_server(pool, {"127.0.0.1:0", limits}, std::move(handler), counters);
        pool.start();
    }

    ~server_fixture()
    {
        pool.stop();
        pool.join();
    }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    std::string send_and_read(std::string_view data) const { return send_raw_request(server->address(), data); }
};

void echo(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    exchange->reply(200, {}, request.method + " " + request.body);
}

/// A server whose clients share a budget.
struct budget_fixture
{
    worker_pool pool{1};
    metrics counters;
    std::shared_ptr<client_budget> budget;
    std::unique_ptr<ihttp_server> server;
    std::atomic<int> requests{0};
    /// Handled requests that are not answered yet.
    std::vector<std::pair<http_request, std::shared_ptr<ihttp_exchange>>> held;
    bool holds = false;

    explicit budget_fixture(const client_usage& limit, http_server_options options = {})
        : budget(std::make_shared<client_budget>(limit))
    {
        options.address = "127.0.0.1:0";
        options.budget = budget;
        server = make_http_server(
            pool, options,
            [this](http_request request, std::shared_ptr<ihttp_exchange> exchange) {
                ++requests;
                if (holds) {
                    held.emplace_back(std::move(request), std::move(exchange));
                    return;
                }
                exchange->reply(200, {}, std::to_string(request.body.size()));
            },
            counters);
        pool.start();
    }

    ~budget_fixture()
    {
        pool.stop();
        pool.join();
        held.clear();
    }
    budget_fixture(const budget_fixture&) = delete;
    budget_fixture& operator=(const budget_fixture&) = delete;
};

constexpr int small_receive_buffer = 2048;
// More than the receive buffer of the client, less than the send buffer of the server.
constexpr std::size_t slow_answer_bytes = 8000;

/// A server whose answers fit into the buffers of its sockets, but not into those of its clients.
struct slow_reader_fixture
{
    static constexpr milliseconds write_timeout{2000};

    worker_pool pool{1};
    metrics counters;
    std::unique_ptr<ihttp_server> server;

    explicit slow_reader_fixture(std::shared_ptr<client_budget> budget = nullptr)
    {
        http_server_options options;
        options.address = "127.0.0.1:0";
        options.limits.send_buffer_bytes = 8192;
        options.limits.write_timeout = write_timeout;
        options.budget = std::move(budget);
        server = make_http_server(
            pool, options,
            [](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
                exchange->reply(200, {}, std::string(slow_answer_bytes, 'a'));
            },
            counters);
        pool.start();
    }

    ~slow_reader_fixture()
    {
        pool.stop();
        pool.join();
    }
    slow_reader_fixture(const slow_reader_fixture&) = delete;
    slow_reader_fixture& operator=(const slow_reader_fixture&) = delete;
};

/// Reads an answer of `slow_answer_bytes` at 3.6 KB a second, until the connection ends. Returns its body.
std::string read_slowly(raw_client& client)
{
    const std::string end_of_head = "\r\n\r\n";
    std::string out;
    std::size_t begin = std::string::npos;
    while (begin == std::string::npos || out.size() - begin < slow_answer_bytes) {
        const auto part = client.read_some(256);
        if (part.empty()) {
            break;
        }
        out += part;
        begin = out.find(end_of_head);
        begin += begin == std::string::npos ? 0 : end_of_head.size();
        std::this_thread::sleep_for(milliseconds(70));
    }
    return begin == std::string::npos ? std::string() : out.substr(begin);
}

const std::string body_head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";

std::string with_length(const std::string& body)
{
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", body_head, body.size(), body);
}

std::string in_chunks(const std::string& body)
{
    return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", body_head, body.size(), body);
}

} // namespace

TEST_GROUP(http_server_test){};

// Guards against a chunk line or trailers of a request that fill the memory of a host: no limit of the body counts
// them.
TEST(http_server_test, framing_of_a_request_body_above_the_limit_is_rejected)
{
    server_fixture f(echo);
    const std::string filler(200'000, 'a');
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(contains(f.send_and_read(head + "1;x=a\r\na\r\n0\r\nX: a\r\n\r\n"), "POST a"));
    CHECK(contains(f.send_and_read(head + "1;x=" + filler + "\r\na\r\n0\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read(head + "1\r\na\r\n0\r\nX: " + filler + "\r\n\r\n"), "\"invalid_request\""));
}

// Guards against bodies that fill the memory of a host together, though each is within its limit.
TEST(http_server_test, bodies_without_a_share_of_the_memory_are_refused)
{
    budget_fixture f({8, 16, 128 * 1024});
    const std::string large(100'000, 'x');
    const std::string small(40'000, 'x');
    for (int i = 0; i < 3; ++i) {
        CHECK(contains(send_raw_request(f.server->address(), with_length(large)), " 503 "));
        CHECK(contains(send_raw_request(f.server->address(), in_chunks(large)), " 503 "));
        // The shares of those before are free again.
        CHECK(contains(send_raw_request(f.server->address(), with_length(small)), "40000"));
        CHECK(contains(send_raw_request(f.server->address(), in_chunks(small)), "40000"));
    }
    LONGS_EQUAL(6, f.requests.load());
    CHECK(eventually([&f] { return f.budget->used().connections == 0; }));
    LONGS_EQUAL(0, f.budget->used().bytes);
    LONGS_EQUAL(0, f.budget->used().descriptors);
}

// Guards against a share that is given back while the request still holds the memory.
TEST(http_server_test, share_of_a_body_lasts_as_long_as_its_request)
{
    constexpr std::size_t body = 40'000;
    budget_fixture f({8, 16, 128 * 1024});
    f.holds = true;
    raw_client client(f.server->address());
    client.send(with_length(std::string(body, 'x')));
    CHECK(eventually([&f] { return f.requests == 1; }));
    client.close();
    CHECK(eventually([&f] { return f.budget->used().connections == 0; }));
    CHECK(f.budget->used().bytes >= body);
    f.pool.stop();
    f.pool.join();
    f.held.clear();
    LONGS_EQUAL(0, f.budget->used().bytes);
}

// Guards against clients that stop short and keep others out until their time is over.
TEST(http_server_test, connection_that_waits_longest_makes_room)
{
    budget_fixture f({3, 3, 128 * 1024});
    const std::string incomplete = body_head + "Content-Length: 100\r\n\r\nx";
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<raw_client>(f.server->address()));
        clients.back()->send(incomplete);
    }
    CHECK(eventually([&f] { return f.budget->used().connections == 3; }));
    CHECK(contains(send_raw_request(f.server->address(), with_length("abc")), "\r\n\r\n3"));
    // The first one is told that its request did not run; the others may go on.
    CHECK(contains(clients[0]->read_all(), " 503 "));
    const std::string rest(99, 'x');
    CHECK(clients[2]->send(rest));
    CHECK(contains(clients[2]->read_all(), "\r\n\r\n100"));
    CHECK(f.budget->evictions() >= 1);
}

// Guards against a client that never pauses: the timeout finds no read to cancel when bytes have arrived already.
TEST(http_server_test, client_that_sends_without_a_pause_is_timed_out)
{
    http_server_options options;
    options.limits.request_timeout = milliseconds(200);
    budget_fixture f({8, 16, 1024 * 1024}, options);
    raw_client client(f.server->address());
    client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "1;x=" + std::string(8000, 'a') + "\r\na\r\n";
    const auto end = std::chrono::steady_clock::now() + seconds(5);
    bool closed = false;
    while (!closed && std::chrono::steady_clock::now() < end) {
        closed = !client.send(chunk);
    }
    CHECK(closed);
    LONGS_EQUAL(0, f.requests.load());
}

// Guards against the end of a connection that discards what its client is still reading.
TEST(http_server_test, client_that_ends_its_side_still_gets_a_large_answer)
{
    constexpr std::size_t size = 60'000;
    constexpr int small_buffer = 2048;
    http_server_options options;
    options.limits.send_buffer_bytes = 8192;
    options.limits.large_socket_buffer_bytes = 64 * 1024;
    budget_fixture f({8, 16, 1024 * 1024}, options);
    f.holds = true;
    raw_client client(f.server->address(), small_buffer);
    client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(eventually([&f] { return f.requests == 1; }));
    const auto exchange = f.held.back().second;
    exchange->sequence()->post([&] { exchange->reply(200, {}, std::string(size, 'a')); });
    // The whole answer is in the kernel.
    CHECK(eventually([&f] { return f.server->open_exchanges() == 0; }));
    client.end_sending();
    CHECK(eventually([&f] { return f.budget->used().connections == 0; }));
    const auto answer = client.read_all();
    LONGS_EQUAL(size, answer.size() - answer.find("\r\n\r\n") - 4);
}

// Guards against a client that is refused only after it has sent a body that nobody needs.
TEST(http_server_test, request_is_refused_by_its_head)
{
    http_server_options options;
    options.check_head = [](const http_request& head) -> std::function<void(ihttp_exchange&)> {
        if (head.path() != "/unknown") {
            return nullptr;
        }
        return [](ihttp_exchange& it) { it.reply(404, {}, "unknown"); };
    };
    budget_fixture f({8, 16, 128 * 1024}, options);
    const std::string rest = " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx";
    CHECK(contains(send_raw_request(f.server->address(), "POST /unknown" + rest), " 404 "));
    raw_client client(f.server->address());
    client.send("POST /known" + rest);
    CHECK(client.send(std::string(99, 'x')));
    CHECK(contains(client.read_until("100"), " 200 "));
}

// Guards against a request that ends the process where it is passed on, because no client can send it.
TEST(http_server_test, trace_with_a_body_is_refused)
{
    server_fixture f(echo);
    CHECK(
        contains(f.send_and_read("TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("TRACE / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "TRACE "));
}

// Guards against a defect in one timer that ends the process and with it all requests.
TEST(http_server_test, timer_that_throws_leaves_the_others)
{
    worker_pool pool{1};
    std::atomic<int> calls{0};
    pool.timers().after(milliseconds(1), [] { throw std::runtime_error("a defect"); });
    pool.timers().after(milliseconds(5), [&calls] { ++calls; });
    pool.start();
    CHECK(eventually([&] { return calls == 1; }));
    pool.stop();
    pool.join();
}

// Guards against the bytes of a body that are read as a further request, because the server and the client disagree on
// where the body ends.
TEST(http_server_test, requests_whose_end_is_not_certain_are_refused)
{
    struct framing_case
    {
        const char* version;
        const char* headers;
        bool certain;
    };
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string chunks = "5\r\n12345\r\n0\r\n\r\n";
    for (const auto& it : std::vector<framing_case>{
             {"1.1", "Transfer-Encoding: chunked\r\n", true},
             {"1.1", "transfer-encoding:CHUNKED\r\n", true},
             {"1.1", "Transfer-Encoding:  chunked \r\n", true},
             {"1.1", "Transfer-Encoding: gzip\r\n", false},
             {"1.1", "Transfer-Encoding: identity\r\n", false},
             {"1.1", "Transfer-Encoding: xchunked\r\n", false},
             {"1.1", "Transfer-Encoding: \r\n", false},
             {"1.1", "Transfer-Encoding: gzip, chunked\r\n", false},
             {"1.1", "Transfer-Encoding: chunked, gzip\r\n", false},
             {"1.1", "Transfer-Encoding: chunked, chunked\r\n", false},
             {"1.1", "Transfer-Encoding: \"chunked\"\r\n", false},
             {"1.1", "Transfer-Encoding: chunked;q=1\r\n", false},
             {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", false},
             {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
             {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", false},
             {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n", false},
             {"1.1", "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n", false},
             {"1.1", "Content-Length: 15\r\nTransfer-Encoding: identity\r\n", false},
             {"1.1", "Transfer-Encoding : chunked\r\n", false},
             {"1.1", "Content-Length: 15\r\n", true},
             {"1.1", "Content-Length: 015\r\n", true},
             {"1.1", "Content-Length:  15 \r\n", true},
             {"1.1", "Content-Length: +15\r\n", false},
             {"1.1", "Content-Length: -1\r\n", false},
             {"1.1", "Content-Length: 15, 15\r\n", false},
             {"1.1", "Content-Length: 15\r\nContent-Length: 15\r\n", false},
             {"1.1", "Content-Length: 15\r\nContent-Length: 3\r\n", false},
             {"1.1", "Content-Length: 0x0f\r\n", false},
             {"1.1", "Content-Length: 1 5\r\n", false},
             {"1.1", "Content-Length: \r\n", false},
             {"1.1", "Content-Length: 99999999999999999999999\r\n", false},
             {"1.0", "Transfer-Encoding: chunked\r\n", false},
         }) {
        std::atomic<int> smuggled_requests{0};
        std::atomic<int> requests{0};
        server_fixture f([&](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
            ++requests;
            smuggled_requests += request.target == "/smuggled" ? 1 : 0;
            exchange->reply(200, {{"Connection", "close"}}, request.body);
        });
        const auto answer = f.send_and_read(fmt::format("POST / HTTP/{}\r\nHost: a\r\nConnection: close\r\n{}\r\n{}{}",
                                                        it.version, it.headers, chunks, smuggled));
        LONGS_EQUAL_TEXT(0, smuggled_requests.load(), it.headers);
        LONGS_EQUAL_TEXT(it.certain ? 1 : 0, requests.load(), it.headers);
        CHECK_TEXT(contains(answer, it.certain ? " 200 " : " 400 "), it.headers);
    }
}

// Guards against malformed requests that terminate the process or get no response with a known error kind.
TEST(http_server_test, malformed_requests_get_a_known_error_kind)
{
    server_fixture f(echo);
    CHECK(contains(f.send_and_read("\x16\x03\x01 nonsense\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nbroken header\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nX: a\r\n b\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nX: a\r\n\tY: b\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n"),
                   "\"headers_too_large\""));
    const std::string large(1'000'000, 'b');
    CHECK(
        contains(f.send_and_read("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + large), "\"body_too_large\""));
    CHECK(contains(f.send_and_read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nF4240\r\n" + large),
                   "\"body_too_large\""));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "GET "));
}

// Guards against clients that keep a connection open with a request that never ends, on new and on reused connections.
TEST(http_server_test, slow_request_gets_request_timeout)
{
    server_fixture f(echo);
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nX: "), "\"request_timeout\""));
    CHECK(contains(f.send_and_read("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"), "\"request_timeout\""));
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(contains(client.read_until("GET "), "200 OK"));
    client.send("GET / HT");
    CHECK(contains(client.read_all(), "\"request_timeout\""));
}

// Guards against connections that are dropped without an error at the limit, and against closed connections that still
// count.
TEST(http_server_test, connections_over_the_limit_get_too_many_connections)
{
    server_fixture f(echo);
    {
        std::vector<std::unique_ptr<raw_client>> clients;
        for (int i = 0; i < 4; ++i) {
            clients.push_back(std::make_unique<raw_client>(f.server->address()));
            clients.back()->send("GET / HTTP/1.1\r\n\r\n");
            CHECK(contains(clients.back()->read_until("GET "), "200 OK"));
        }
        const auto response = f.send_and_read("GET / HTTP/1.1\r\n\r\n");
        CHECK(contains(response, "\"too_many_connections\""));
        CHECK(contains(response, "Retry-After: 1"));
    }
    CHECK(
        eventually([&] { return contains(f.send_and_read("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "200 OK"); }));
}

// Guards against an exception in a handler that terminates the process and all other requests.
TEST(http_server_test, a_throwing_handler_is_an_internal_error)
{
    server_fixture f(
        [](const http_request&, const std::shared_ptr<ihttp_exchange>&) { throw std::runtime_error("defect"); });
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "\"internal\""));
}

// Guards against body framing that desynchronises a persistent connection.
TEST(http_server_test, framing_follows_method_and_version)
{
    server_fixture f([](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
        if (request.path() == "/whole") {
            exchange->reply(200, {}, "body");
            return;
        }
        exchange->begin_stream(200, {});
        exchange->write("part");
        exchange->end_stream();
    });
    const auto head = f.send_and_read("HEAD /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(contains(head, "Content-Length: 4"));
    CHECK(!contains(head, "body"));
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "\r\n\r\n4\r\npart\r\n0\r\n\r\n"));
    const auto http_1_0 = f.send_and_read("GET / HTTP/1.0\r\n\r\n");
    CHECK(!contains(http_1_0, "chunked"));
    CHECK(contains(http_1_0, "\r\n\r\npart"));
    const auto pipelined =
        f.send_and_read("GET /whole HTTP/1.1\r\n\r\nGET /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(pipelined.find("body") != pipelined.rfind("body"));
}

// Guards against a client that stops reading and keeps its stream open forever, and against a missing on_closed call.
TEST(http_server_test, a_client_that_stops_reading_is_disconnected_after_the_write_timeout)
{
    std::atomic<int> disconnects{0};
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->on_closed([&] { ++disconnects; });
        exchange->begin_stream(200, {});
        exchange->write(std::string(32 * 1024 * 1024, 'x'));
    });
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(eventually([&] { return disconnects == 1; }));
    CHECK(f.counters.value("http_write_timeouts_total") == 1);
}

// Guards against a disconnect that is not detected while the response is prepared.
TEST(http_server_test, a_disconnect_before_the_response_is_detected)
{
    std::atomic<int> disconnects{0};
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->on_closed([&] { ++disconnects; });
    });
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(eventually([&] { return f.server->open_exchanges() == 1; }));
    client.close();
    CHECK(eventually([&] { return disconnects == 1; }));
    CHECK(eventually([&] { return f.server->open_exchanges() == 0; }));
}

// Guards against clients that stay connected to a host that is shutting down.
TEST(http_server_test, responses_close_their_connection_while_draining)
{
    server_fixture f(echo);
    f.server->drain();
    CHECK(contains(f.send_and_read("GET / HTTP/1.1\r\n\r\n"), "Connection: close"));
}

// Guards against an answer that is cut while the server drains, because its client reads slowly: the end of the answer
// was in the socket's buffer for longer than a second.
TEST(http_server_test, slow_reader_gets_its_whole_answer_while_draining)
{
    slow_reader_fixture f;
    f.server->drain();
    raw_client client(f.server->address(), small_receive_buffer);
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    LONGS_EQUAL(slow_answer_bytes, read_slowly(client).size());
    CHECK(eventually([&] { return f.server->busy_connections() == 0; }));
}

// Guards against a server that counts a connection as closed while its client, which has ended only its own side, reads
// on.
TEST(http_server_test, client_that_ends_its_side_is_waited_for_while_draining)
{
    slow_reader_fixture f;
    f.server->drain();
    raw_client client(f.server->address(), small_receive_buffer);
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(eventually([&] { return f.server->arrivals() == 2 && f.server->open_exchanges() == 0; }));
    client.end_sending();
    std::this_thread::sleep_for(milliseconds(300));
    LONGS_EQUAL(1, f.server->busy_connections());
    LONGS_EQUAL(slow_answer_bytes, read_slowly(client).size());
    CHECK(eventually([&] { return f.server->busy_connections() == 0; }));
}

// Guards against a crowd that takes all connections, for which a client is cut off that reads its answer slowly: the
// connection counted as idle once the answer was in the socket's buffer.
TEST(http_server_test, slow_reader_gets_its_whole_answer_beside_a_crowd)
{
    constexpr std::size_t connections = 4;
    slow_reader_fixture f(std::make_shared<client_budget>(client_usage{connections, 100, 1024 * 1024}));
    raw_client reader(f.server->address(), small_receive_buffer);
    reader.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(contains(reader.read_some(1), "H"));
    CHECK(eventually([&] { return f.server->open_exchanges() == 0; }));
    std::vector<std::unique_ptr<raw_client>> crowd;
    for (std::size_t i = 0; i < 3 * connections; ++i) {
        crowd.push_back(std::make_unique<raw_client>(f.server->address()));
        crowd.back()->send("POST / HTTP/1.1\r\nContent-Le");
        const auto sessions = i + 2;
        CHECK(eventually([&] { return f.server->arrivals() >= 2 * sessions; }));
    }
    LONGS_EQUAL(slow_answer_bytes, read_slowly(reader).size());
}

// Guards against a part of an answer that looks complete to a client of HTTP/1.0, which reads until the connection
// ends.
TEST(http_server_test, answer_without_framing_that_is_given_up_ends_with_a_reset)
{
    server_fixture f([](const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->begin_stream(200, {});
        exchange->write("part");
        // The part is on its way before the answer ends.
        exchange->on_drained([exchange, whole = request.target == "/whole"] {
            exchange->on_drained(nullptr);
            whole ? exchange->end_stream() : exchange->abort();
        });
    });
    for (const char* target : {"/whole", "/part"}) {
        raw_client client(f.server->address());
        client.send(fmt::format("GET {} HTTP/1.0\r\n\r\n", target));
        const auto answer = client.read_all();
        CHECK(!contains(answer, "chunked"));
        CHECK_EQUAL(std::string(target) == "/part", client.was_reset());
    }
}

// Guards against a client that stops reading and keeps a draining server from its end.
TEST(http_server_test, client_that_stops_reading_is_disconnected_while_draining)
{
    slow_reader_fixture f;
    f.server->drain();
    raw_client client(f.server->address(), small_receive_buffer);
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    client.read_some(1);
    const auto began = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return f.server->busy_connections() == 0; }, slow_reader_fixture::write_timeout * 3));
    CHECK(std::chrono::steady_clock::now() - began >= slow_reader_fixture::write_timeout);
}

// Guards against stale readiness of a socket that is mistaken for a disconnect, so that the response is never sent.
TEST(http_server_test, waiting_clients_are_not_treated_as_disconnected)
{
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        f.pool.timers().after(milliseconds(1), [exchange] {
            exchange->sequence()->post([exchange] { exchange->reply(200, {}, "ok"); });
        });
    });
    std::atomic<int> failures{0};
    std::vector<std::thread> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back([&] {
            for (int n = 0; n < 300; ++n) {
                failures += contains(f.send_and_read("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "200 OK") ? 0 : 1;
            }
        });
    }
    for (auto& it : callers) {
        it.join();
    }
    LONGS_EQUAL(0, failures);
}

// Guards against a process that exits without naming the address when another one already listens on it.
TEST(http_server_test, an_address_in_use_is_named_in_the_error)
{
    const server_fixture first(ignore_request);
    worker_pool pool{1};
    metrics counters;
    const auto address = first.server->address();
    std::string problem;
    try {
        make_http_server(pool, {address, {}}, ignore_request, counters);
    } catch (const std::system_error& it) {
        problem = it.what();
    }
    CHECK(contains(problem, "cannot listen on " + address));
    problem.clear();
    try {
        make_link_server(pool, address, {{"key"}, "agent/entry-1/1"}, {}, counters);
    } catch (const std::system_error& it) {
        problem = it.what();
    }
    CHECK(contains(problem, "cannot listen on " + address));
}
