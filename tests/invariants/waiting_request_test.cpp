#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

// As many as the only engine runs at the same time.
constexpr int engine_slots = 24;
constexpr int long_events = 900;
constexpr int brief_events = 3;

} // namespace

// Requests that wait for room on an engine, where requests are ordered by what a refusal costs.
TEST_GROUP(waiting_request)
{
    std::unique_ptr<node_fleet> fleet;
    std::vector<stream::ptr> running;

    void start(int hosts)
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.engines = 1;
        options.instances = 1;
        options.orders_by_cost = true;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= hosts; ++i) {
            CHECK(fleet->wait_ready(i));
            CHECK(hosts == 1 || knows_others(i));
        }
    }

    bool knows_others(int host)
    {
        return eventually([&] { return fleet->log_of(host).find("member_joined") != std::string::npos; });
    }

    void fill_engine(int host)
    {
        for (int i = 0; i < engine_slots; ++i) {
            running.push_back(fleet->open_generation(host, fmt::format("long-{}", i), long_events));
        }
        CHECK(eventually([&] { return fleet->ran("engine-1").size() == engine_slots; }));
        // The other hosts know of this work.
        std::this_thread::sleep_for(milliseconds(300));
    }

    bool waits(int host, const std::string& request)
    {
        return eventually([&] {
            const auto log = fleet->log_of(host);
            const auto at = log.find("request_waiting");
            return at != std::string::npos && log.find(request, at) != std::string::npos;
        });
    }
};

// Guards against a request that goes on waiting, is refused or runs twice after the host has died that held all room.
TEST(waiting_request, gets_the_room_of_a_host_that_was_killed)
{
    start(2);
    fill_engine(1);
    const auto answer = fleet->open_generation(2, "brief", brief_events);
    CHECK(waits(2, "brief"));
    LONGS_EQUAL(0, fleet->runs_of("engine-1", "brief"));
    fleet->kill("node-1");
    CHECK(answer->wait_end(milliseconds(10'000)));
    STRCMP_EQUAL(expected_events("brief", brief_events).c_str(), answer->head().body.c_str());
    LONGS_EQUAL(1, fleet->runs_of("engine-1", "brief"));
}

// Guards against a request that is lost while it waits, when the store falls silent and its caller's host learns
// nothing.
TEST(waiting_request, is_served_while_the_store_is_silent)
{
    start(1);
    fill_engine(1);
    fleet->control("store", {{"outage", "silent"}});
    const auto answer = fleet->open_generation(1, "brief", brief_events);
    CHECK(waits(1, "brief"));
    running.clear();
    CHECK(answer->wait_end(milliseconds(10'000)));
    STRCMP_EQUAL(expected_events("brief", brief_events).c_str(), answer->head().body.c_str());
}

// Guards against a caller that leaves while its request waits, which would run for nobody.
TEST(waiting_request, does_not_run_after_its_caller_has_left)
{
    start(1);
    fill_engine(1);
    auto answer = fleet->open_generation(1, "left", brief_events);
    CHECK(waits(1, "left"));
    answer.reset();
    std::this_thread::sleep_for(milliseconds(300));
    running.clear();
    std::this_thread::sleep_for(milliseconds(1500));
    LONGS_EQUAL(0, fleet->runs_of("engine-1", "left"));
}

// Guards against a request that waits when its host gets a stop signal, is passed on late in the grace time and cut at
// its end. One that ends in time is still served.
TEST(waiting_request, is_refused_at_the_stop_signal_if_its_answer_may_not_end_in_time)
{
    start(2);
    fill_engine(2);
    const auto endangered = fleet->open_generation(1, "endangered", long_events);
    const auto safe = fleet->client().open(fleet->address("node-1"), "POST", "/sheet/week", "draft the sheet",
                                           {{"Host", "roster.example"},
                                            {"Request-Id", "safe"},
                                            {"Authorization", "Token key-galle"},
                                            {"Token-Usage", fmt::format("100,{}", brief_events)},
                                            {"Deadline-Ms", "6000"}});
    CHECK(waits(1, "endangered"));
    CHECK(waits(1, "safe"));
    fleet->process_of("node-1").send_signal(SIGTERM);
    CHECK(eventually([&] { return fleet->log_of(1).find("shutdown_began") != std::string::npos; }));
    running.clear();
    CHECK(endangered->wait_end(milliseconds(10'000)));
    LONGS_EQUAL(503, endangered->head().status);
    STRCMP_EQUAL("leaving", endangered->head().error_kind().c_str());
    STRCMP_EQUAL("not_run", endangered->head().outcome().c_str());
    CHECK(safe->wait_end(milliseconds(5000)));
    STRCMP_EQUAL(expected_events("safe", brief_events).c_str(), safe->head().body.c_str());
    LONGS_EQUAL(0, fleet->runs_of("engine-1", "endangered"));
    CHECK(fleet->process_of("node-1").wait_exit().has_value());
}
