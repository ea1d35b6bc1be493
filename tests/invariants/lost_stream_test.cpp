#include <atomic>
#include <condition_variable>
#include <set>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "core/crypto.h"
#include "tests/support/node_fleet.h"
#include "tests/support/scripted_upstream.h"

using namespace testing;

namespace {

constexpr int events = 300;
constexpr milliseconds event_interval{10};
// Bytes of the first events, after which the move begins.
constexpr std::size_t events_before_the_move = 100;
// Longest wait of a first copy for the one of the other host.
constexpr milliseconds other_copy_wait{100};
// Two hosts have to begin a copy before they hear of each other's.
constexpr int hosts = 6;
constexpr int max_rounds = 40;
// The random delay before a copy is at most this part of its maximum.
constexpr double max_jitter_share = 0.02;

/// What the source does after it has reset the stream of a generation that has been copied once.
enum class after_reset
{
    works_on,
    /// Works on until the final copy call, which gets no answer.
    hangs_in_the_final_copy,
    /// Works on and refuses the final copy call.
    refuses_to_stop,
    drops_the_run,
    ends
};

std::string stream_head(const std::string& request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                       "Content-Type: text/event-stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n",
                       header_of(request, "Request-Id"));
}

std::string chunk(const std::string& data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string event(const std::string& request, int number)
{
    return chunk(fmt::format("id: {}\ndata: {}:{}\n\n", number, header_of(request, "Request-Id"), number));
}

std::string json_answer(int status, const std::string& body)
{
    return fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

/// The engine of one generation of each host, of which some are copied at the same time. It answers the first copy call
/// and keeps the others waiting, so that the generation that has been copied waits for the link. Then it resets the
/// stream of that generation.
class losing_source
{
public:
    explicit losing_source(after_reset how)
        : how_(how), upstream_([this](const auto& request, auto& peer) { serve(request, peer); })
    {}
    ~losing_source() { release(); }

    const std::string& address() const { return upstream_.address(); }
    /// The generation whose stream was reset; empty if none was.
    std::string lost()
    {
        const std::lock_guard lock(mutex_);
        return lost_;
    }
    /// The first copy has ended without another one at the same time.
    bool copied_alone()
    {
        const std::lock_guard lock(mutex_);
        return copied_alone_;
    }
    /// Whether a generation of this source is executed at present.
    bool runs(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return stopped_.count(id) == 0;
    }
    void release()
    {
        const std::lock_guard lock(mutex_);
        released_ = true;
        changed_.notify_all();
    }

private:
    void serve(const std::string& request, scripted_upstream::connection& peer)
    {
        if (request.rfind("POST /kv-move", 0) == 0) {
            const auto begin = request.find("\"id\":\"") + 6;
            const auto id = request.substr(begin, request.find('"', begin) - begin);
            if (request.find("\"last\"") == std::string::npos) {
                copy(id, peer);
            } else {
                copy_finally(id, peer);
            }
        } else if (request.rfind("POST /sheet/", 0) == 0) {
            stream(request, peer);
        } else {
            peer.send(json_answer(404, "{}"));
        }
    }

    void copy(const std::string& id, scripted_upstream::connection& peer)
    {
        std::unique_lock lock(mutex_);
        const bool first = ++copies_ == 1;
        changed_.notify_all();
        if (!first) {
            changed_.wait_for(lock, default_bound, [this] { return released_; });
            return;
        }
        if (!changed_.wait_for(lock, other_copy_wait, [this] { return copies_ > 1; })) {
            copied_alone_ = true;
            return;
        }
        lock.unlock();
        peer.send(json_answer(200, R"({"cache-handle":7,"created":1})"));
        // The host waits for the link then.
        std::this_thread::sleep_for(event_interval);
        lock.lock();
        if (stopped_.count(id) != 0) {
            copied_alone_ = true;
            return;
        }
        lost_ = id;
        if (how_ == after_reset::drops_the_run || how_ == after_reset::ends) {
            stopped_.insert(id);
        }
        if (how_ == after_reset::ends) {
            upstream_.stop_listening();
        }
        changed_.notify_all();
    }

    void copy_finally(const std::string& id, scripted_upstream::connection& peer)
    {
        std::unique_lock lock(mutex_);
        if (lost_ == id && how_ == after_reset::refuses_to_stop) {
            lock.unlock();
            peer.send(json_answer(409, "{}"));
            return;
        }
        const bool running = stopped_.insert(id).second;
        changed_.notify_all();
        if (lost_ == id && how_ == after_reset::hangs_in_the_final_copy) {
            changed_.wait_for(lock, default_bound, [this] { return released_; });
            return;
        }
        lock.unlock();
        peer.send(running ? json_answer(200, R"({"cache-handle":8,"created":1})") : json_answer(404, "{}"));
    }

    void stream(const std::string& request, scripted_upstream::connection& peer)
    {
        const auto id = header_of(request, "Request-Id");
        peer.send(stream_head(request));
        std::unique_lock lock(mutex_);
        bool open = true;
        for (int i = 1; open && i <= events && stopped_.count(id) == 0 && lost_ != id; ++i) {
            lock.unlock();
            open = peer.send(event(request, i));
            lock.lock();
            changed_.wait_for(lock, event_interval, [&] { return stopped_.count(id) != 0 || lost_ == id; });
        }
        // A stream that is stopped closes without its end.
        peer.reset();
    }

    after_reset how_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<std::string> stopped_;
    std::string lost_;
    int copies_ = 0;
    bool copied_alone_ = false;
    bool released_ = false;
    scripted_upstream upstream_;
};

} // namespace

// Generations that have been copied once and whose stream is lost before the final copy.
TEST_GROUP(lost_stream)
{
    std::unique_ptr<node_fleet> fleet;
    std::mutex mutex;
    /// Of the lost generation: the copy from which it was resumed, and whether its source still executed it then.
    std::string resumed_from;
    bool ran_twice = false;
    int last_request = 0;

    void register_engine(const std::string& id, const std::string& address, const std::string& phase)
    {
        fleet->write(
            "servers", id,
            {{"service", "engines"}, {"address", address}, {"zone", "zone-a"}, {"capacity", 24}, {"phase", phase}});
    }

    /// A request that begins its move at once.
    std::string request_without_delay(int host)
    {
        constexpr double steps = 1024;
        while (true) {
            auto out = fmt::format("r-{}-{}", host, ++last_request);
            const auto hash = anvillead::placement_hash(out) % static_cast<std::uint64_t>(steps);
            if (static_cast<double>(hash) / steps < max_jitter_share) {
                return out;
            }
        }
    }

    /// Loses the stream of a generation and returns what its caller got.
    reply lose_stream(after_reset how)
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.engines = 0;
        options.instances = 0;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= options.hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= options.hosts; ++i) {
            CHECK(fleet->wait_ready(i));
        }
        for (int round = 1; round <= max_rounds; ++round) {
            if (const auto answer = play(how, round)) {
                return answer->head();
            }
        }
        FAIL("the two generations were never copied at the same time");
        return {};
    }

    stream::ptr play(after_reset how, int round)
    {
        losing_source source(how);
        scripted_upstream target([&](const std::string& request, scripted_upstream::connection& peer) {
            serve_target(source, request, peer);
        });
        const auto source_id = fmt::format("source-{}", round);
        const auto target_id = fmt::format("target-{}", round);
        register_engine(source_id, source.address(), "ready");
        std::vector<std::string> requests;
        std::vector<stream::ptr> answers;
        for (int i = 1; i <= hosts; ++i) {
            requests.emplace_back();
            answers.emplace_back();
            // The host may not know the source yet.
            CHECK(eventually([&] {
                requests.back() = request_without_delay(i);
                answers.back() = fleet->open_generation(i, requests.back(), events);
                CHECK(eventually([&] {
                    return answers.back()->ended() || answers.back()->head().body.size() > events_before_the_move;
                }));
                return !answers.back()->ended();
            }));
        }
        register_engine(target_id, target.address(), "ready");
        register_engine(source_id, source.address(), "draining");
        CHECK(eventually([&] { return source.copied_alone() || !source.lost().empty(); }));
        stream::ptr out;
        for (std::size_t i = 0; i < requests.size(); ++i) {
            if (requests[i] == source.lost()) {
                out = answers[i];
                CHECK(out->wait_end());
            }
        }
        source.release();
        for (const auto& it : answers) {
            it->disconnect();
        }
        fleet->remove("servers", source_id);
        fleet->remove("servers", target_id);
        return out;
    }

    void serve_target(losing_source & source, const std::string& request, scripted_upstream::connection& peer)
    {
        const auto from = header_of(request, "Kv-From");
        if (from.empty()) {
            peer.send(json_answer(404, "{}"));
            return;
        }
        const auto id = header_of(request, "Request-Id");
        if (id == source.lost()) {
            const std::lock_guard lock(mutex);
            resumed_from = from.substr(from.rfind('/') + 1);
            ran_twice = source.runs(id);
        }
        peer.send(stream_head(request));
        for (int i = std::stoi(header_of(request, "Last-Event-Id")) + 1; i <= events; ++i) {
            peer.send(event(request, i));
        }
        peer.send("0\r\n\r\n");
    }

    void check_resumed(after_reset how, const char* copy)
    {
        const auto answer = lose_stream(how);
        CHECK(answer.complete());
        const auto id = answer.body.substr(answer.body.find("data: ") + 6, answer.body.find(":1\n") - 12);
        STRCMP_EQUAL(expected_events(id, events).c_str(), answer.body.c_str());
        STRCMP_EQUAL(copy, resumed_from.c_str());
        CHECK_FALSE(ran_twice);
    }
};

// Guards against a generation that two engines execute: the first one has lost only the connection and works on.
TEST(lost_stream, source_that_works_on_is_stopped_first)
{
    check_resumed(after_reset::works_on, "8");
}

// Guards against losing the generation, or holding its caller, where the engine does not answer the final call.
TEST(lost_stream, source_that_hangs_in_the_final_copy_call_is_left_behind)
{
    check_resumed(after_reset::hangs_in_the_final_copy, "7");
}

// Guards against a generation that two engines execute because the first one cannot be stopped.
TEST(lost_stream, source_that_refuses_to_stop_keeps_the_generation)
{
    CHECK(!lose_stream(after_reset::refuses_to_stop).complete());
    STRCMP_EQUAL("", resumed_from.c_str());
}

// Guards against losing a generation that its engine has dropped, although a copy is left.
TEST(lost_stream, generation_that_its_source_has_dropped_is_resumed)
{
    check_resumed(after_reset::drops_the_run, "7");
}

// The same for an engine that has ended.
TEST(lost_stream, generation_of_a_source_that_has_ended_is_resumed)
{
    check_resumed(after_reset::ends, "7");
}
