#include <chrono>
#include <condition_variable>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"
#include "tests/support/scripted_upstream.h"

using namespace testing;

namespace {

constexpr int events = 300;
constexpr milliseconds event_interval{10};
// Bytes of the first events, after which the move begins.
constexpr std::size_t events_before_the_move = 100;
// Time after the last copy call in which a stopped stream closes, where it does so after the call's connection.
constexpr milliseconds late_close{60};

/// What happens to the last copy call of a move.
enum class last_copy
{
    /// The stream closes, then the connection of the call, which gets no answer.
    lost_after_the_stream,
    /// The connection of the call closes without an answer, then the stream.
    lost_before_the_stream,
    /// The generation has come to its end before the call: status 404.
    not_running
};

/// Whether a generation runs, for the connection of its stream and for that of its copy call.
struct run_state
{
    std::mutex mutex;
    std::condition_variable changed;
    bool stopped = false;

    void stop()
    {
        const std::lock_guard lock(mutex);
        stopped = true;
        changed.notify_all();
    }

    /// Returns whether the generation has been stopped within `bound`.
    bool wait_stopped(milliseconds bound)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, bound, [this] { return stopped; });
    }
};

std::string stream_head(const std::string& request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                       "Content-Type: text/event-stream; charset=utf-8\r\n\r\n",
                       header_of(request, "Request-Id"));
}

std::string event(const std::string& request, int number)
{
    return fmt::format("id: {}\ndata: {}:{}\n\n", number, header_of(request, "Request-Id"), number);
}

std::string json_answer(int status, const std::string& body)
{
    return fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

} // namespace

// Moves of generations whose streams have neither a length nor chunks, so that a stopped one ends like a complete one.
TEST_GROUP(lost_copy_answer)
{
    std::unique_ptr<node_fleet> fleet;
    run_state run;

    /// Answers as an engine that runs one generation.
    void serve_source(const std::string& request, scripted_upstream::connection& peer, last_copy how)
    {
        if (request.rfind("POST /kv-move", 0) == 0) {
            if (request.find("\"last\"") == std::string::npos) {
                peer.send(json_answer(200, R"({"cache-handle":7,"created":1})"));
            } else if (how == last_copy::not_running) {
                run.stop();
                peer.send(json_answer(404, "{}"));
            } else {
                run.stop();
            }
            return;
        }
        if (request.rfind("POST /sheet/", 0) != 0) {
            peer.send(json_answer(404, "{}"));
            return;
        }
        peer.send(stream_head(request));
        for (int i = 1; i <= events && peer.send(event(request, i)); ++i) {
            if (run.wait_stopped(event_interval)) {
                break;
            }
        }
        if (how == last_copy::lost_before_the_stream) {
            std::this_thread::sleep_for(late_close);
        }
    }

    /// Answers as an engine that holds a copy, which lacks the first `skipped` events that are due.
    static void serve_target(const std::string& request, scripted_upstream::connection& peer, int skipped)
    {
        if (header_of(request, "Kv-From").empty()) {
            peer.send(json_answer(404, "{}"));
            return;
        }
        peer.send(stream_head(request));
        for (int i = std::stoi(header_of(request, "Last-Event-Id")) + 1 + skipped; i <= events; ++i) {
            peer.send(event(request, i));
        }
    }

    void register_engine(const std::string& id, const scripted_upstream& engine, const std::string& phase)
    {
        fleet->write("servers", id,
                     {{"service", "engines"},
                      {"address", engine.address()},
                      {"zone", "zone-a"},
                      {"capacity", 24},
                      {"phase", phase}});
    }

    reply move_generation(last_copy how, int skipped = 0)
    {
        node_fleet::options options;
        options.engines = 0;
        options.instances = 0;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        scripted_upstream source([this, how](const std::string& request, scripted_upstream::connection& peer) {
            serve_source(request, peer, how);
        });
        scripted_upstream target([skipped](const std::string& request, scripted_upstream::connection& peer) {
            serve_target(request, peer, skipped);
        });
        register_engine("source", source, "ready");
        fleet->start_node(1);
        CHECK(fleet->wait_ready(1));
        const auto answer = fleet->open_generation(1, "r-1", events);
        CHECK(eventually([&] { return answer->head().body.size() > events_before_the_move; }));
        register_engine("target", target, "ready");
        register_engine("source", source, "draining");
        CHECK(answer->wait_end());
        return answer->head();
    }
};

// Guards against a stream that ends as complete in its middle because the answer to the last copy call was lost.
TEST(lost_copy_answer, stream_that_closed_before_goes_on_from_the_earlier_copy)
{
    const auto answer = move_generation(last_copy::lost_after_the_stream);
    CHECK(answer.complete());
    STRCMP_EQUAL(expected_events("r-1", events).c_str(), answer.body.c_str());
}

// Guards against the same where the engine closes the stream only after the copy call has failed.
TEST(lost_copy_answer, stream_that_closes_later_goes_on_from_the_earlier_copy)
{
    const auto answer = move_generation(last_copy::lost_before_the_stream);
    CHECK(answer.complete());
    STRCMP_EQUAL(expected_events("r-1", events).c_str(), answer.body.c_str());
}

// Guards against a stream whose pieces are missing where it was resumed.
TEST(lost_copy_answer, stream_that_goes_on_after_a_gap_is_broken_off)
{
    const auto answer = move_generation(last_copy::lost_after_the_stream, 1);
    CHECK(!answer.complete());
    STRCMP_EQUAL(expected_events("r-1", events).substr(0, answer.body.size()).c_str(), answer.body.c_str());
}

// Guards against a complete answer that is taken for a stopped one.
TEST(lost_copy_answer, stream_of_a_generation_that_had_ended_is_complete)
{
    const auto answer = move_generation(last_copy::not_running);
    CHECK(answer.complete());
    STRCMP_EQUAL(expected_events("r-1", events).substr(0, answer.body.size()).c_str(), answer.body.c_str());
}
