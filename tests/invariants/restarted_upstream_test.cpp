#include <atomic>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"
#include "tests/support/scripted_upstream.h"

using namespace testing;

namespace {

constexpr std::int64_t first_start_ms = 1'000'000;
constexpr std::int64_t second_start_ms = 2'000'000;
// Several round trips, and short enough for a request.
constexpr milliseconds work_time{150};
// Several periods in which a host judges the crashes that it has seen.
constexpr milliseconds quarantine_wait{1000};
constexpr const char* unframed_head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
                                      "Content-Type: text/event-stream; charset=utf-8\r\n\r\n";
constexpr const char* first_event = "id: 1\ndata: a\n\n";
constexpr const char* last_event = "id: 2\ndata: b\n\n";

/// An upstream that states its start in its reports and answers requests without framing.
class starting_upstream
{
public:
    starting_upstream() : upstream_([this](const auto& request, auto& peer) { serve(request, peer); }) {}

    const std::string& address() const { return upstream_.address(); }
    /// The upstream has started again.
    void restart() { started_at_ms_ = second_start_ms; }
    /// Each request ends with a crash after its first event; its connection ends in order, and the upstream is back at
    /// once.
    void crash_in_requests() { crashes_ = true; }
    /// Each request ends with a reset before an answer; the upstream runs on.
    void reset_requests() { resets_ = true; }
    int requests() const { return requests_; }

private:
    void serve(const std::string& request, scripted_upstream::connection& peer)
    {
        if (request.rfind("GET /report ", 0) == 0) {
            const auto body = fmt::format("{{\"phase\":\"ready\",\"born\":{}}}", started_at_ms_.load());
            peer.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
            return;
        }
        if (request.rfind("POST ", 0) != 0) {
            peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        ++requests_;
        if (resets_) {
            // Losses within some tens of milliseconds count as ones with a common cause.
            std::this_thread::sleep_for(work_time);
            peer.reset();
            return;
        }
        std::this_thread::sleep_for(work_time);
        peer.send(std::string(unframed_head) + first_event);
        std::this_thread::sleep_for(work_time);
        if (crashes_) {
            started_at_ms_ = second_start_ms;
            return;
        }
        peer.send(last_event);
    }

    std::atomic<std::int64_t> started_at_ms_{first_start_ms};
    std::atomic<bool> crashes_{false};
    std::atomic<bool> resets_{false};
    std::atomic<int> requests_{0};
    scripted_upstream upstream_;
};

} // namespace

// Answers of upstreams that have started again under their id while their entries still name the process before.
TEST_GROUP(restarted_upstream)
{
    std::unique_ptr<node_fleet> fleet;

    void setup() override
    {
        node_fleet::options options;
        options.engines = 0;
        options.instances = 0;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
    }

    void add(const std::string& name, const std::string& service, const starting_upstream& upstream)
    {
        fleet->write("servers", name,
                     {{"service", service},
                      {"address", upstream.address()},
                      {"zone", "zone-a"},
                      {"capacity", 24},
                      {"phase", "ready"},
                      {"born", first_start_ms}});
    }

    void start()
    {
        fleet->start_node(1);
        CHECK(fleet->wait_ready(1));
    }

    reply ask(const std::string& path, const std::string& request)
    {
        return fleet->ask(1, "POST", path, request, {{"Token-Usage", "10,10"}, {"Deadline-Ms", "5000"}}, "x");
    }

    void check_whole(const reply& got)
    {
        LONGS_EQUAL_TEXT(200, got.status, fleet->log_of(1).c_str());
        CHECK_TEXT(got.complete(), fleet->log_of(1).c_str());
        STRCMP_EQUAL((std::string(first_event) + last_event).c_str(), got.body.c_str());
    }
};

// Guards against cutting whole streams of the process that runs now, on a host that has not heard of its start.
TEST(restarted_upstream, stream_of_the_later_process_is_whole)
{
    starting_upstream upstream;
    add("engine", "engines", upstream);
    start();
    upstream.restart();
    check_whole(ask("/sheet/week", "r-1"));
}

// The same for answers of plain services that had no framing before either.
TEST(restarted_upstream, answer_of_the_later_process_is_whole)
{
    starting_upstream upstream;
    add("instance", "registry", upstream);
    start();
    check_whole(ask("/notice/1", "r-1"));
    upstream.restart();
    check_whole(ask("/notice/1", "r-2"));
}

// Guards against a part of a stream that looks whole because the upstream is back before the host asks.
TEST(restarted_upstream, stream_of_the_process_before_is_not_whole)
{
    starting_upstream upstream;
    add("engine", "engines", upstream);
    start();
    upstream.crash_in_requests();
    CHECK(!ask("/sheet/week", "r-1").complete());
}

// Guards against the same where the process that crashes is itself a later one than the entry tells of.
TEST(restarted_upstream, answer_of_the_process_before_is_not_whole)
{
    starting_upstream upstream;
    add("instance", "registry", upstream);
    start();
    check_whole(ask("/notice/1", "r-1"));
    upstream.crash_in_requests();
    LONGS_EQUAL(502, ask("/notice/1", "r-2").status);
}

// Guards against sound requests under quarantine: a reset by a process whose start the host has not heard of is no
// crash.
TEST(restarted_upstream, reset_by_the_later_process_is_no_crash)
{
    std::vector<std::unique_ptr<starting_upstream>> upstreams;
    for (int i = 0; i < 6; ++i) {
        upstreams.push_back(std::make_unique<starting_upstream>());
        add(fmt::format("instance-{}", i), "registry", *upstreams.back());
    }
    start();
    for (const auto& it : upstreams) {
        it->restart();
        it->reset_requests();
    }
    const auto reached = [&] {
        int out = 0;
        for (const auto& it : upstreams) {
            out += it->requests() > 0 ? 1 : 0;
        }
        return out;
    };
    for (int i = 0; i < 40 && reached() < 4; ++i) {
        ask("/lookup/1", fmt::format("r-{}", i));
    }
    CHECK(reached() >= 4);
    const auto quarantined = [&] { return fleet->log_of(1).find("request_quarantined") != std::string::npos; };
    CHECK_TEXT(!eventually(quarantined, quarantine_wait), fleet->log_of(1).c_str());
}
