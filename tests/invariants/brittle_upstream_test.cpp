#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "tests/support/node_fleet.h"

using namespace testing;
using nlohmann::json;

namespace {

constexpr int hosts = 5;
constexpr int instances = 3;
constexpr int slots = 3;
constexpr int brittle = 2;
constexpr milliseconds call_time{60};
constexpr milliseconds down_time{2000};
// Time after upstreams first said that they are brittle in which all hosts have to know it.
constexpr milliseconds learning_time{3000};
// Falls that are accepted in one time of brittleness: this many, and one for ten upstreams.
constexpr std::size_t accepted_falls = 2;

} // namespace

// Upstreams in need that fall over when they have to turn many requests away.
TEST_GROUP(brittle_upstream)
{
    std::unique_ptr<node_fleet> fleet;
    std::vector<stream::ptr> answers;
    int last_request = 0;

    void setup() override
    {
        node_fleet::options options;
        options.hosts = hosts;
        options.engines = 0;
        options.instances = instances;
        options.instance_slots = slots;
        fleet = std::make_unique<node_fleet>(options);
        fleet->configure(3);
        for (int i = 1; i <= hosts; ++i) {
            fleet->start_node(i);
        }
        for (int i = 1; i <= hosts; ++i) {
            CHECK(fleet->wait_ready(i));
        }
        for (int i = 1; i <= instances; ++i) {
            fleet->control(name(i), {{"call_ms", call_time.count()}, {"slots", slots}, {"down_ms", down_time.count()}});
        }
    }

    static std::string name(int number)
    {
        return fmt::format("instance-{}", number);
    }

    void set_brittle(int refusals)
    {
        for (int i = 1; i <= instances; ++i) {
            fleet->control(name(i), {{"brittle", refusals}});
        }
    }

    void send_calls(milliseconds time, milliseconds gap)
    {
        for (const auto end = clock::now() + time; clock::now() < end; std::this_thread::sleep_for(gap)) {
            const int host = 1 + ++last_request % hosts;
            answers.push_back(fleet->client().open(fleet->address(fmt::format("node-{}", host)), "POST", "/notice/1",
                                                   "x",
                                                   {{"Host", "roster.example"},
                                                    {"Request-Id", fmt::format("r-{}", last_request)},
                                                    {"Authorization", "Token key-galle"},
                                                    {"Deadline-Ms", "1500"}}));
        }
    }

    std::size_t falls()
    {
        std::size_t out = 0;
        for (int i = 1; i <= instances; ++i) {
            out += fleet->client().get(fleet->address(name(i)), "/ran").value("crash_times", json::array()).size();
        }
        return out;
    }
};

// Guards against hosts that each send what fits by their own view, so that brittle instances fall over one after the
// other in a burst of requests beyond what they have room for.
TEST(brittle_upstream, burst_is_refused_by_the_hosts)
{
    set_brittle(brittle);
    send_calls(learning_time, milliseconds(25));
    std::this_thread::sleep_for(down_time + milliseconds(500));
    const auto before = falls();
    answers.clear();
    // Nine slots serve 150 calls a second; about twice as many come.
    send_calls(milliseconds(6000), milliseconds(3));
    int served = 0;
    int refused = 0;
    for (const auto& it : answers) {
        it->wait_end();
        served += it->head().status == 200 ? 1 : 0;
        if (it->head().status == 503) {
            ++refused;
            STRCMP_EQUAL("not_run", it->head().outcome().c_str());
            CHECK(!anvillead::find_header(it->head().headers, "Retry-After").empty());
        }
    }
    std::this_thread::sleep_for(down_time + milliseconds(500));
    CHECK(falls() - before <= accepted_falls + instances / 10);
    CHECK(refused > 0);
    // At least half of what the slots can serve.
    CHECK(served >= 6 * 150 / 2);
}

// Guards against instances that are used less for good after they have said once that they are brittle.
TEST(brittle_upstream, use_is_full_again_when_brittleness_ends)
{
    set_brittle(brittle);
    send_calls(milliseconds(2000), milliseconds(20));
    set_brittle(-1);
    std::this_thread::sleep_for(down_time + milliseconds(500));
    send_calls(milliseconds(1500), milliseconds(20));
    answers.clear();
    send_calls(milliseconds(3000), milliseconds(20));
    int served = 0;
    for (const auto& it : answers) {
        it->wait_end();
        served += it->head().status == 200 ? 1 : 0;
    }
    CHECK(served >= static_cast<int>(answers.size()) - 1);
}
