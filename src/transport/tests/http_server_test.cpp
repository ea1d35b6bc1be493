#include "transport/ihttp_server.h"

#include <atomic>
#include <system_error>
#include <thread>

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

bool eventually(const std::function<bool()>& condition)
{
    for (int i = 0; i < 400; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

void ignore_request(const http_request&, const std::shared_ptr<ihttp_exchange>&) {}

/// A server on a port of the kernel's choice with small bounds.
struct server_fixture
{
    worker_pool pool{2};
    metrics counters;
    std::unique_ptr<ihttp_server> server;
    std::atomic<int> gone{0};

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

    std::string ask(std::string_view data) const { return raw_exchange(server->address(), data); }
};

void echo(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
{
    exchange->reply(200, {}, request.method + " " + request.body);
}

} // namespace

TEST_GROUP(http_server_test){};

// Guards against a bad request that ends the process or gets no answer of the closed list.
TEST(http_server_test, bad_requests_get_an_error_of_the_closed_list)
{
    server_fixture f(echo);
    CHECK(contains(f.ask("\x16\x03\x01 nonsense\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nbroken header\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"), "\"invalid_request\""));
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n"), "\"headers_too_large\""));
    const std::string large(1'000'000, 'b');
    CHECK(contains(f.ask("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" + large), "\"body_too_large\""));
    CHECK(contains(f.ask("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nF4240\r\n" + large),
                   "\"body_too_large\""));
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "GET "));
}

// Guards against callers that hold a connection with a request that never ends, on a new and on a used connection.
TEST(http_server_test, slow_request_gets_request_timeout)
{
    server_fixture f(echo);
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nX: "), "\"request_timeout\""));
    CHECK(contains(f.ask("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"), "\"request_timeout\""));
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(contains(client.read_until("GET "), "200 OK"));
    client.send("GET / HT");
    CHECK(contains(client.read_all(), "\"request_timeout\""));
}

// Guards against silence at the connection limit, and against places that closed connections keep.
TEST(http_server_test, connections_over_the_limit_are_told_so)
{
    server_fixture f(echo);
    {
        std::vector<std::unique_ptr<raw_client>> held;
        for (int i = 0; i < 4; ++i) {
            held.push_back(std::make_unique<raw_client>(f.server->address()));
            held.back()->send("GET / HTTP/1.1\r\n\r\n");
            CHECK(contains(held.back()->read_until("GET "), "200 OK"));
        }
        const auto answer = f.ask("GET / HTTP/1.1\r\n\r\n");
        CHECK(contains(answer, "\"too_many_connections\""));
        CHECK(contains(answer, "Retry-After: 1"));
    }
    CHECK(eventually([&] { return contains(f.ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "200 OK"); }));
}

// Guards against a defect of a handler that ends the process and all other requests.
TEST(http_server_test, a_throwing_handler_is_an_internal_error)
{
    server_fixture f(
        [](const http_request&, const std::shared_ptr<ihttp_exchange>&) { throw std::runtime_error("defect"); });
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "\"internal\""));
}

// Guards against bodies that confuse the framing of a kept connection.
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
    const auto head = f.ask("HEAD /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(contains(head, "Content-Length: 4"));
    CHECK(!contains(head, "body"));
    CHECK(contains(f.ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "\r\n\r\n4\r\npart\r\n0\r\n\r\n"));
    const auto old = f.ask("GET / HTTP/1.0\r\n\r\n");
    CHECK(!contains(old, "chunked"));
    CHECK(contains(old, "\r\n\r\npart"));
    const auto pipelined = f.ask("GET /whole HTTP/1.1\r\n\r\nGET /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(pipelined.find("body") != pipelined.rfind("body"));
}

// Guards against a caller that stops reading and holds its stream for ever, and against a lost notice of its end.
TEST(http_server_test, a_caller_that_reads_nothing_is_given_up_after_the_write_timeout)
{
    std::atomic<int> gone{0};
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->on_closed([&] { ++gone; });
        exchange->begin_stream(200, {});
        exchange->write(std::string(32 * 1024 * 1024, 'x'));
    });
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(eventually([&] { return gone == 1; }));
    CHECK(f.counters.value("http_write_timeouts_total") == 1);
}

// Guards against a disconnect that goes unnoticed while the answer is prepared.
TEST(http_server_test, a_caller_that_leaves_while_waiting_is_noticed)
{
    std::atomic<int> gone{0};
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        exchange->on_closed([&] { ++gone; });
    });
    raw_client client(f.server->address());
    client.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(eventually([&] { return f.server->open_exchanges() == 1; }));
    client.close();
    CHECK(eventually([&] { return gone == 1; }));
    CHECK(eventually([&] { return f.server->open_exchanges() == 0; }));
}

// Guards against callers that stay on a host that is shutting down.
TEST(http_server_test, answers_close_their_connection_while_draining)
{
    server_fixture f(echo);
    f.server->drain();
    CHECK(contains(f.ask("GET / HTTP/1.1\r\n\r\n"), "Connection: close"));
}

// Guards against stale readiness of a socket that is taken for a disconnect: the answer is then never sent.
TEST(http_server_test, waiting_callers_are_not_taken_for_gone)
{
    server_fixture f([&](const http_request&, const std::shared_ptr<ihttp_exchange>& exchange) {
        f.pool.timers().after(milliseconds(1), [exchange] {
            exchange->sequence()->post([exchange] { exchange->reply(200, {}, "ok"); });
        });
    });
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back([&] {
            for (int n = 0; n < 300; ++n) {
                unanswered += contains(f.ask("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "200 OK") ? 0 : 1;
            }
        });
    }
    for (auto& it : callers) {
        it.join();
    }
    LONGS_EQUAL(0, unanswered);
}

// Guards against a daemon that aborts without naming the address when another process listens there.
TEST(http_server_test, a_taken_address_is_named)
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
