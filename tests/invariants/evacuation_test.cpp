#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;

namespace {

// From the store's answer to the last request that may reach an upstream of the zone.
constexpr milliseconds evacuation_bound{5000};
constexpr milliseconds observation_time{1500};

} // namespace

// Availability zones that the operator evacuates: their upstreams get nothing until the evacuation is taken back.
TEST_GROUP(evacuation)
{
    std::unique_ptr<node_fleet> fleet;
    int last_request = 0;

    void start(int hosts)
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.evacuations = true;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= hosts; ++i) {
            CHECK(fleet->wait_ready(i));
        }
    }

    reply call(int host)
    {
        return fleet->ask(host, "POST", "/notice/1", fmt::format("r-{}", ++last_request), {{"Deadline-Ms", "1500"}},
                          "x");
    }

    /// Sends calls and generations to all hosts for some time; returns whether all were served.
    bool serve_for(const std::vector<int>& hosts, milliseconds time)
    {
        bool out = true;
        for (const auto end = clock::now() + time; clock::now() < end; std::this_thread::sleep_for(milliseconds(20))) {
            for (const int it : hosts) {
                out = call(it).status == 200 && out;
                out = fleet->generate(it, fmt::format("r-{}", ++last_request), 2).status == 200 && out;
            }
        }
        return out;
    }

    std::size_t runs_in_zone_b()
    {
        return fleet->ran("engine-2").size() + fleet->ran("instance-2").size();
    }

    bool wait_evacuated(int host, int times = 1)
    {
        return eventually(
            [&] {
                const auto log = fleet->log_of(host);
                int count = 0;
                for (auto at = log.find("zone_evacuated"); at != std::string::npos;
                     at = log.find("zone_evacuated", at + 1)) {
                    ++count;
                }
                return count >= times;
            },
            evacuation_bound);
    }
};

// Guards against requests that reach an evacuated zone through a host that does not follow the store, and against a
// zone that stays unused after its return.
TEST(evacuation, upstreams_of_an_evacuated_zone_get_nothing_until_it_returns)
{
    start(3);
    CHECK(serve_for({1, 2, 3}, observation_time));
    CHECK(runs_in_zone_b() > 0);
    fleet->set_evacuated("colombo-b", true);
    for (const int it : {1, 2, 3}) {
        CHECK(wait_evacuated(it));
    }
    const auto before = runs_in_zone_b();
    CHECK(serve_for({1, 2, 3}, observation_time));
    LONGS_EQUAL(before, runs_in_zone_b());
    const auto shown = fleet->client().get(fleet->address("node-2/control"), "/evacuations");
    LONGS_EQUAL(2, shown.at("zones").at("colombo-b").size());
    fleet->set_evacuated("colombo-b", false);
    CHECK(eventually([&] { return serve_for({1, 2, 3}, milliseconds(50)) && runs_in_zone_b() > before; }));
}

// Guards against a generation that is cut, or begun anew, because its zone is evacuated while it runs.
TEST(evacuation, generations_that_run_there_go_on_to_their_end)
{
    start(1);
    // One of each pair runs in the zone.
    std::vector<stream::ptr> answers;
    answers.reserve(6);
    for (int i = 0; i < 6; ++i) {
        answers.push_back(fleet->open_generation(1, fmt::format("long-{}", i), 100));
    }
    CHECK(eventually([&] { return fleet->ran("engine-1").size() + fleet->ran("engine-2").size() >= 6; }));
    CHECK(!fleet->ran("engine-2").empty());
    fleet->set_evacuated("colombo-b", true);
    CHECK(wait_evacuated(1));
    for (int i = 0; i < 6; ++i) {
        CHECK(answers[static_cast<std::size_t>(i)]->wait_end(milliseconds(20'000)));
        STRCMP_EQUAL(expected_events(fmt::format("long-{}", i), 100).c_str(),
                     answers[static_cast<std::size_t>(i)]->head().body.c_str());
    }
}

// Guards against an evacuation that ends with an outage of the store, and against hosts that start during it and do not
// know of it.
TEST(evacuation, silent_store_keeps_it_and_started_hosts_learn_it_from_others)
{
    start(2);
    fleet->set_evacuated("colombo-b", true);
    CHECK(wait_evacuated(1) && wait_evacuated(2));
    const auto before = runs_in_zone_b();
    fleet->control("store", {{"outage", "silent"}});
    fleet->kill("node-2");
    fleet->start_node(2);
    CHECK(fleet->wait_ready(2));
    CHECK(serve_for({1, 2}, observation_time));
    LONGS_EQUAL(before, runs_in_zone_b());
    fleet->control("store", {{"outage", ""}});
    fleet->set_evacuated("colombo-b", false);
    CHECK(eventually([&] { return serve_for({1, 2}, milliseconds(50)) && runs_in_zone_b() > before; }));
}

// Guards against requests that wait for room, or run, while all zones are evacuated, and against a list that an unknown
// zone or an odd entry spoils.
TEST(evacuation, requests_are_refused_at_once_while_all_zones_are_evacuated)
{
    start(1);
    fleet->write("evacuations", "nowhere", "no object");
    fleet->set_evacuated("colombo-a", true);
    fleet->set_evacuated("colombo-b", true);
    CHECK(wait_evacuated(1, 3));
    const auto runs = [&] {
        return runs_in_zone_b() + fleet->ran("engine-1").size() + fleet->ran("instance-1").size();
    };
    const auto before = runs();
    const auto refused_call = call(1);
    LONGS_EQUAL(503, refused_call.status);
    STRCMP_CONTAINS("evacuated", refused_call.body.c_str());
    const auto refused_generation = fleet->generate(1, "r-refused", 3);
    LONGS_EQUAL(503, refused_generation.status);
    STRCMP_CONTAINS("not_run", refused_generation.body.c_str());
    // It has not waited for room.
    CHECK(fleet->log_of(1).find("request_waiting") == std::string::npos);
    LONGS_EQUAL(before, runs());
    fleet->set_evacuated("colombo-a", false);
    CHECK(eventually([&] { return call(1).status == 200; }));
}

// Guards against an evacuation that the store has lost with its newest changes and the operator has not written again.
TEST(evacuation, evacuation_outlives_the_return_of_the_store_from_an_older_copy)
{
    start(2);
    fleet->control("store", {{"copy", true}});
    fleet->set_evacuated("colombo-b", true);
    CHECK(wait_evacuated(1) && wait_evacuated(2));
    const auto before = runs_in_zone_b();
    fleet->control("store", {{"restore", true}});
    CHECK(serve_for({1, 2}, observation_time));
    fleet->set_evacuated("colombo-b", true);
    CHECK(serve_for({1, 2}, observation_time * 2));
    LONGS_EQUAL(before, runs_in_zone_b());
}
