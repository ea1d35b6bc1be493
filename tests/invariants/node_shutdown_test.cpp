#include <algorithm>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"
#include "transport/tests/raw_client.h"

using namespace testing;
using anvillead::raw_client;

namespace {

constexpr int callers = 6;
constexpr milliseconds call_time{300};
constexpr milliseconds answer_bound{4000};
// Later than the moment from which an idle host may exit: three times the time for which callers use its address.
constexpr milliseconds after_drain{1700};
constexpr int refused_status = 503;
constexpr milliseconds pause_after_refusal{20};

/// Head of a plain call that may run at most once, with its body in chunks.
std::string chunked_head(const std::string& id)
{
    return fmt::format("POST /notice/{} HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: {}\r\n"
                       "Authorization: Token key-galle\r\nDeadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n",
                       id, id);
}

/// What a caller got for one request: status 0 if the connection ended without a whole answer.
struct outcome
{
    std::string id;
    int status = 0;
    bool closes = false;
};

outcome read_answer(raw_client& connection, const std::string& id)
{
    outcome out;
    out.id = id;
    const auto head = connection.read_until("\r\n\r\n", answer_bound);
    const auto length_at = head.find("Content-Length: ");
    if (head.find("\r\n\r\n") == std::string::npos || length_at == std::string::npos) {
        return out;
    }
    const auto length = std::stoul(head.substr(length_at + std::string("Content-Length: ").size()));
    const auto body_at = head.find("\r\n\r\n") + 4;
    if (head.size() < body_at + length) {
        // The body comes with its head, because the host writes both at once.
        return out;
    }
    out.status = std::stoi(head.substr(head.find(' ') + 1));
    out.closes = head.find("Connection: close") != std::string::npos;
    return out;
}

/// Callers that send one call after another on open connections until nobody accepts them any more.
class persistent_callers
{
public:
    explicit persistent_callers(const std::string& address) : address_(address)
    {
        for (int i = 0; i < callers; ++i) {
            threads_.emplace_back([this, i] { run(i); });
        }
    }

    ~persistent_callers() { join(); }
    persistent_callers(const persistent_callers&) = delete;
    persistent_callers& operator=(const persistent_callers&) = delete;

    std::vector<outcome> join()
    {
        for (auto& it : threads_) {
            it.join();
        }
        threads_.clear();
        return outcomes_;
    }

private:
    void run(int caller)
    {
        auto connection = std::make_unique<raw_client>(address_);
        for (int i = 0;; ++i) {
            const auto id = fmt::format("c{}-{}", caller, i);
            if (!connection->send(chunked_head(id) + "4\r\nbody\r\n0\r\n\r\n")) {
                return;
            }
            const auto value = read_answer(*connection, id);
            {
                const std::lock_guard lock(mutex_);
                outcomes_.push_back(value);
            }
            if (value.status == 0) {
                return;
            }
            if (value.status == refused_status) {
                std::this_thread::sleep_for(pause_after_refusal);
            }
            if (value.closes) {
                connection = std::make_unique<raw_client>(address_);
            }
        }
    }

    std::string address_;
    std::mutex mutex_;
    std::vector<outcome> outcomes_;
    std::vector<std::thread> threads_;
};

/// A caller that asks for a stream and reads 2.5 KB of it a second. Its events repeat its long id.
class slow_reader
{
public:
    slow_reader(const std::string& address, int events) : events_(events), connection_(address, receive_buffer_bytes)
    {
        connection_.send(fmt::format("POST /sheet/week HTTP/1.1\r\nHost: roster.example\r\nRequest-Id: {}\r\n"
                                     "Authorization: Token key-galle\r\nToken-Usage: 100,{}\r\nDeadline-Ms: 9000\r\n"
                                     "Content-Length: 5\r\n\r\nsheet",
                                     id(), events));
    }

    static std::string id() { return std::string(id_bytes, 's'); }

    /// Reads until the answer or the connection ends, and returns whether all events came.
    bool gets_whole_answer()
    {
        std::string out;
        while (out.find("\r\n0\r\n\r\n") == std::string::npos) {
            const auto part = connection_.read_some(bytes_per_read);
            if (part.empty()) {
                break;
            }
            out += part;
            std::this_thread::sleep_for(read_pause);
        }
        return out.find(fmt::format("data: {}:{}\n\n", id(), events_)) != std::string::npos;
    }

private:
    static constexpr std::size_t id_bytes = 240;
    static constexpr int receive_buffer_bytes = 2048;
    static constexpr std::size_t bytes_per_read = 256;
    static constexpr milliseconds read_pause{100};

    int events_;
    raw_client connection_;
};

} // namespace

// A host that is shut down while callers keep using their connections to it.
TEST_GROUP(node_shutdown)
{
    std::unique_ptr<node_fleet> fleet;

    void start(int grace_seconds)
    {
        node_fleet::options options;
        options.engines = 1;
        options.instances = 1;
        options.grace_seconds = grace_seconds;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        fleet->control("instance-1", {{"call_ms", call_time.count()}});
        fleet->control("engine-1", {{"event_ms", 20}});
        fleet->start_node(1);
        CHECK(fleet->wait_ready(1));
    }

    void stop()
    {
        fleet->process_of("node-1").send_signal(SIGTERM);
    }

    /// Ids of the calls that the instance has run.
    std::set<std::string> ran() const
    {
        std::set<std::string> out;
        for (const auto& it : fleet->ran("instance-1")) {
            out.insert(it.value("id", ""));
        }
        return out;
    }

    std::size_t lines_of(const std::string& text) const
    {
        const auto log = fleet->log_of(1);
        std::size_t out = 0;
        for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
            ++out;
        }
        return out;
    }
};

// Guards against calls that are cut when the time for the shutdown is over, because a long generation keeps the process
// until then and callers go on sending.
TEST(node_shutdown, calls_in_flight_at_the_end_of_the_grace_time_are_answered)
{
    start(4);
    const auto generation = fleet->open_generation(1, "long", 1400);
    CHECK(eventually([&] { return fleet->runs_of("engine-1", "long") == 1; }));
    persistent_callers load(fleet->address("node-1"));
    CHECK(eventually([&] { return fleet->ran("instance-1").size() > callers; }));
    stop();
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
    const auto outcomes = load.join();
    std::string lost;
    const auto executed = ran();
    for (const auto& it : outcomes) {
        const bool has_run = executed.count(it.id) != 0;
        lost += has_run && it.status == 0 ? it.id + " ran and got no answer\n" : "";
        lost += has_run && it.status == refused_status ? it.id + " ran and was refused\n" : "";
    }
    STRCMP_EQUAL("", lost.c_str());
    CHECK(executed.size() > 2 * callers);
}

// Guards against an exit between two parts of a request, on a connection that was open before.
TEST(node_shutdown, request_that_arrives_in_parts_is_answered)
{
    start(8);
    raw_client connection(fleet->address("node-1"));
    connection.send(chunked_head("parts") + "4\r\nbo");
    stop();
    CHECK(eventually([&] { return lines_of("shutdown_began") == 1; }));
    std::this_thread::sleep_for(after_drain);
    CHECK(connection.send("dy\r\n0\r\n\r\n"));
    LONGS_EQUAL(200, read_answer(connection, "parts").status);
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
}

// Guards against an exit while a request waits in the kernel, because the machine gave the process no time to read it.
TEST(node_shutdown, request_that_waits_to_be_read_is_answered)
{
    start(8);
    raw_client connection(fleet->address("node-1"));
    connection.send(chunked_head("before") + "0\r\n\r\n");
    LONGS_EQUAL(200, read_answer(connection, "before").status);
    stop();
    CHECK(eventually([&] { return lines_of("shutdown_began") == 1; }));
    fleet->process_of("node-1").send_signal(SIGSTOP);
    connection.send(chunked_head("waiting") + "4\r\nbody\r\n0\r\n\r\n");
    std::this_thread::sleep_for(after_drain);
    fleet->process_of("node-1").send_signal(SIGCONT);
    LONGS_EQUAL(200, read_answer(connection, "waiting").status);
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
}

// Guards against a second signal that ends the process at once, and against one that restarts the shutdown.
TEST(node_shutdown, signals_in_series_cut_nothing)
{
    start(8);
    const auto generation = fleet->open_generation(1, "r-1", 120);
    CHECK(eventually([&] { return fleet->runs_of("engine-1", "r-1") == 1; }));
    persistent_callers load(fleet->address("node-1"));
    for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGHUP, SIGTERM}) {
        const auto seen = fleet->ran("instance-1").size();
        fleet->process_of("node-1").send_signal(signal);
        CHECK(eventually([&] { return fleet->ran("instance-1").size() > seen; }));
    }
    LONGS_EQUAL(1, lines_of("shutdown_began"));
    CHECK(generation->wait_end());
    STRCMP_EQUAL(expected_events("r-1", 120).c_str(), generation->head().body.c_str());
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
    const auto outcomes = load.join();
    const auto executed = ran();
    for (const auto& it : outcomes) {
        CHECK_TEXT(it.status != 0 || executed.count(it.id) == 0, it.id.c_str());
    }
}

// Guards against an answer that is cut because its caller reads slowly: the host took the last byte in the socket's
// buffer for the end of the answer.
TEST(node_shutdown, slow_reader_gets_its_whole_answer)
{
    start(12);
    fleet->control("engine-1", {{"event_ms", 20}});
    stop();
    CHECK(eventually([&] { return lines_of("shutdown_began") == 1; }));
    slow_reader caller(fleet->address("node-1"), 40);
    CHECK(caller.gets_whole_answer());
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
}

// Guards against an exit while a caller has yet to read an answer that had ended before the signal.
TEST(node_shutdown, unread_answer_keeps_the_host)
{
    start(12);
    fleet->control("engine-1", {{"event_ms", 2}});
    slow_reader caller(fleet->address("node-1"), 30);
    CHECK(eventually([&] { return lines_of("\"outcome\":\"answered\"") == 1; }));
    stop();
    std::this_thread::sleep_for(after_drain);
    CHECK(fleet->process_of("node-1").running());
    CHECK(caller.gets_whole_answer());
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
}
