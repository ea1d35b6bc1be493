#include <algorithm>
#include <csignal>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/client_crowd.h"
#include "tests/support/node_fleet.h"
#include "transport/tests/raw_client.h"

using namespace testing;

namespace {

constexpr int memory_mb = 48;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr int max_descriptors = 4100;
/// Of max-fds, for files.
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t crowd_size = 2000;
constexpr std::size_t ordinary_body_bytes = 8000;

/// One host with low limits, and what it held at most.
struct small_host
{
    explicit small_host(int descriptors = max_descriptors, int extra_routes = 0)
        : fleet(options_with(descriptors, extra_routes)),
          most_descriptors_allowed(static_cast<std::size_t>(descriptors) - reserved_descriptors)
    {
        fleet.configure(3);
        fleet.start_node(1);
        CHECK(fleet.wait_ready(1));
    }

    static node_fleet::options options_with(int descriptors, int extra_routes)
    {
        node_fleet::options out;
        out.engines = 1;
        out.instances = 1;
        out.memory_mb = memory_mb;
        out.max_descriptors = descriptors;
        out.extra_routes = extra_routes;
        return out;
    }

    process& host() { return fleet.process_of("node-1"); }

    void sample()
    {
        most_held = std::max(most_held, host().held_bytes());
        most_descriptors = std::max(most_descriptors, host().open_descriptors());
    }

    void press(client_crowd& crowd)
    {
        crowd.send_all([this] { sample(); });
        sample();
        fmt::print("  {} bytes sent, {} connections open; {} bytes and {} descriptors at most\n", crowd.bytes_sent(),
                   crowd.open(), most_held, most_descriptors);
    }

    void check_bounds()
    {
        CHECK(host().running());
        CHECK_TEXT(most_held <= memory_mb * bytes_per_mb, fmt::format("{} bytes", most_held).c_str());
        CHECK_TEXT(most_descriptors <= most_descriptors_allowed,
                   fmt::format("{} descriptors", most_descriptors).c_str());
    }

    /// Checks the bounds, and that requests inside the limits are answered while the crowd stays.
    void check()
    {
        check_bounds();
        LONGS_EQUAL(200, fleet.ask(1, "GET", "/lookup/a", "ordinary-1").status);
        LONGS_EQUAL(200,
                    fleet.ask(1, "POST", "/notice/a", "ordinary-2", {}, std::string(ordinary_body_bytes, 'o')).status);
        LONGS_EQUAL(1, fleet.runs_of("instance-1", "ordinary-2"));
        const auto generation = fleet.generate(1, "ordinary-3", 4);
        LONGS_EQUAL(200, generation.status);
        CHECK(generation.complete());
        CHECK(host().running());
    }

    node_fleet fleet;
    std::size_t most_descriptors_allowed;
    std::size_t most_held = 0;
    std::size_t most_descriptors = 0;
};

std::string head(std::size_t client, const std::string& framing)
{
    return fmt::format("POST /notice/c HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: crowd-{}\r\n"
                       "Authorization: Token key-galle\r\nDeadline-Ms: 1500\r\n{}\r\n\r\n",
                       client, framing);
}

const std::string chunked = "Transfer-Encoding: chunked";

std::string chunks_of_one_byte(std::size_t client, std::size_t wire_bytes)
{
    auto out = head(client, chunked);
    while (out.size() < wire_bytes) {
        out += "1\r\nx\r\n";
    }
    return out;
}

/// A chunk that lacks its last byte.
std::string unfilled_chunk(std::size_t client, std::size_t bytes)
{
    return head(client, chunked) + fmt::format("{:x}\r\n", bytes + 1) + std::string(bytes, 'x');
}

/// A body in chunks of `chunk` bytes without the last chunk.
std::string unfinished_chunks(std::size_t client, std::size_t bytes, std::size_t chunk)
{
    auto out = head(client, chunked);
    for (std::size_t sent = 0; sent < bytes; sent += chunk) {
        out += fmt::format("{:x}\r\n{}\r\n", chunk, std::string(chunk, 'x'));
    }
    return out;
}

/// A body that lacks its last byte.
std::string unfinished_length(std::size_t client, std::size_t bytes)
{
    return head(client, fmt::format("Content-Length: {}", bytes + 1)) + std::string(bytes, 'x');
}

/// A head of short lines without its end.
std::string endless_head(std::size_t bytes)
{
    std::string out = "GET /lookup/c HTTP/1.1\r\nHost: roster.example\r\n";
    while (out.size() < bytes) {
        out += "a:b\r\n";
    }
    return out;
}

/// Checks the bounds with a crowd on one of the ports that are not for requests.
void check_other_port(const std::string& port)
{
    constexpr std::size_t clients = 200;
    constexpr std::size_t body = 900'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1" + port), clients,
                       [](std::size_t i) { return unfinished_length(i, body); });
    it.press(crowd);
    it.check();
}

} // namespace

// Clients that stop short of the end of their request, or do not read, and stay connected. Whatever they send, the host
// stays within its memory, with what the kernel holds for it, and its descriptors, and serves others.
TEST_GROUP(hostile_client){};

// Guards against bytes that pile up in receive queues because the body is parsed one chunk an operation.
TEST(hostile_client, chunks_of_one_byte)
{
    constexpr std::size_t wire_bytes = 120'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), crowd_size,
                       [](std::size_t i) { return chunks_of_one_byte(i, wire_bytes); });
    it.press(crowd);
    it.check();
}

// Guards against a body whose buffer takes more than its share.
TEST(hostile_client, chunk_that_is_never_filled)
{
    constexpr std::size_t body = 33'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), crowd_size, [](std::size_t i) { return unfilled_chunk(i, body); });
    it.press(crowd);
    it.check();
}

// Guards against small bodies that no bound counts.
TEST(hostile_client, small_bodies_that_stop_short)
{
    constexpr std::size_t body = 16'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), crowd_size, [](std::size_t i) { return unfilled_chunk(i, body); });
    it.press(crowd);
    it.check();
}

// Guards against large bodies, with a length or in large chunks, that keep the memory for bodies.
TEST(hostile_client, large_bodies_that_stop_short)
{
    constexpr std::size_t clients = 200;
    constexpr std::size_t body = 900'000;
    constexpr std::size_t chunk = 64'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), clients, [](std::size_t i) {
        return i % 2 == 0 ? unfinished_length(i, body) : unfinished_chunks(i, body, chunk);
    });
    it.press(crowd);
    it.check();
    // A single request inside the limits needs what the crowd holds.
    LONGS_EQUAL(200, it.fleet.ask(1, "POST", "/notice/a", "large", {}, std::string(body, 'o')).status);
}

// Guards against a bound that holds for one form of requests only.
TEST(hostile_client, mixed_forms)
{
    constexpr std::size_t bytes = 60'000;
    constexpr std::size_t head_bytes = 15'000;
    constexpr std::size_t chunk = 8000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), crowd_size, [](std::size_t i) {
        switch (i % 5) {
        case 0:
            return chunks_of_one_byte(i, bytes);
        case 1:
            return unfilled_chunk(i, bytes);
        case 2:
            return unfinished_chunks(i, bytes, chunk);
        case 3:
            return unfinished_length(i, bytes);
        default:
            return endless_head(head_bytes);
        }
    });
    it.press(crowd);
    it.check();
}

// Guards against heads whose parsed form takes many times their bytes.
TEST(hostile_client, heads_that_never_end)
{
    constexpr std::size_t head_bytes = 15'000;
    small_host it;
    client_crowd crowd(it.fleet.address("node-1"), crowd_size, [](std::size_t) { return endless_head(head_bytes); });
    it.press(crowd);
    it.check();
}

// Guards against callers that take the descriptors that the host needs for upstreams, and other callers.
TEST(hostile_client, more_connections_than_descriptors)
{
    constexpr int descriptors = 500;
    constexpr std::size_t clients = 600;
    constexpr std::size_t body = 10;
    small_host it(descriptors);
    client_crowd crowd(it.fleet.address("node-1"), clients, [](std::size_t i) { return unfinished_length(i, body); });
    it.press(crowd);
    it.check();
}

// Guards against ports without a bound of their own.
TEST(hostile_client, bodies_on_the_port_of_the_directory)
{
    check_other_port("/directory");
}

TEST(hostile_client, bodies_on_the_port_of_readiness)
{
    check_other_port("/ready");
}

TEST(hostile_client, bodies_on_the_control_port)
{
    check_other_port("/control");
}

// Guards against a client that needs no key to have its body kept.
TEST(hostile_client, body_without_a_known_key)
{
    small_host it;
    const auto refused = [&](const std::string& path, const std::string& key) {
        anvillead::raw_client client(it.fleet.address("node-1"));
        client.send(
            fmt::format("POST {} HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: r\r\nAuthorization: Token {}\r\n"
                        "Content-Length: 900000\r\n\r\nx",
                        path, key));
        return client.read_until("\r\n\r\n");
    };
    CHECK(refused("/notice/a", "unknown").find(" 401 ") != std::string::npos);
    CHECK(refused("/unknown/a", "key-galle").find(" 404 ") != std::string::npos);
    it.check();
}

// Guards against answers that pile up for clients that read none of them.
TEST(hostile_client, answers_that_are_not_read)
{
    constexpr int routes = 1500;
    constexpr std::size_t clients = 300;
    small_host it(max_descriptors, routes);
    client_crowd crowd(it.fleet.address("node-1/control"), clients, [](std::size_t) {
        std::string out;
        for (int i = 0; i < 4; ++i) {
            out += "GET /state?configuration=0&upstreams=0&evacuations=0 HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        return out;
    });
    it.press(crowd);
    it.check();
}

// Guards against a crowd that keeps an ordinary call from its answer, or the process from its end, after a stop signal.
TEST(hostile_client, stop_signal_while_a_crowd_stays)
{
    constexpr std::size_t body = 33'000;
    constexpr int events = 100;
    small_host it;
    it.fleet.control("engine-1", {{"event_ms", 30}});
    const auto generation = it.fleet.open_generation(1, "long", events);
    CHECK(eventually([&] { return !generation->head().body.empty(); }));
    client_crowd crowd(it.fleet.address("node-1"), crowd_size, [](std::size_t i) { return unfilled_chunk(i, body); });
    it.press(crowd);
    it.check_bounds();
    it.host().send_signal(SIGTERM);
    CHECK(generation->wait_end());
    STRCMP_EQUAL(expected_events("long", events).c_str(), generation->head().body.c_str());
    const auto code = it.host().wait_exit();
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
}
