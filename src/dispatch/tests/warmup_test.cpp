#include <algorithm>
#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "dispatch/selection.h"
#include "dispatch/upstream_directory.h"
#include "dispatch/upstream_limits.h"

using namespace anvillead;

namespace {

const service_name service("engines");
// As a deployment configures it, and the factor and the slack by which the rate may be exceeded in any second.
const warmup_profile profile{seconds(1), 30};
constexpr double overage = 1.5;
constexpr int slack = 5;

} // namespace

TEST_GROUP(warmup_test)
{
    instant now = instant{} + seconds(1000);
    upstream_directory directory;

    void setup() override
    {
        directory.set_warmups({{service, profile}});
        directory.apply(now, record("known"));
        directory.finish_first_listing();
    }

    static upstream_record record(const std::string& id, const std::string& zone = "a", std::int64_t started = 1)
    {
        upstream_record out;
        out.id = upstream_id(id);
        out.service = service;
        out.address = "10.0.0.1:80";
        out.availability_zone = zone_name(zone);
        out.slots = 24;
        out.started_at_ms = started;
        return out;
    }

    bool cold(const std::string& id) const
    {
        return directory.warmup_rate(now, upstream_id(id)).has_value();
    }
};

TEST(warmup_test, upstream_is_cold_after_its_start_or_when_it_says_so)
{
    CHECK(!cold("known"));
    directory.apply(now, record("new"));
    CHECK(cold("new"));
    now += profile.time;
    CHECK(!cold("new"));
    auto again = record("new");
    again.warmup_left = milliseconds(400);
    directory.apply(now, again);
    CHECK(cold("new"));
    now += milliseconds(400);
    CHECK(!cold("new"));
    directory.on_warmup_stated(now, upstream_id("new"), milliseconds(200));
    CHECK(cold("new"));
    now += milliseconds(200);
    directory.apply(now, record("new", "a", 2));
    CHECK(cold("new"));
}

TEST(warmup_test, upstreams_of_a_service_without_a_warm_up_are_never_cold)
{
    directory.set_warmups({{service, warmup_profile{}}});
    directory.apply(now, record("new"));
    CHECK(!cold("new"));
    // An upstream that is slow after its start but names no rate gets requests like the others.
    directory.set_warmups({{service, warmup_profile{seconds(1), 0}}});
    CHECK(!cold("new"));
}

// Guards against full load on the engines of a zone that returns, which may have become cold meanwhile.
TEST(warmup_test, upstreams_of_a_returning_zone_are_cold)
{
    directory.set_evacuated(now, {zone_name("a"), zone_name("nowhere")});
    CHECK(directory.usable(service).empty());
    CHECK(directory.all_evacuated(service));
    CHECK(!directory.accepts(upstream_id("known")));
    now += seconds(10);
    directory.set_evacuated(now, {});
    LONGS_EQUAL(1, directory.usable(service).size());
    CHECK(cold("known"));
}

// Load: a burst of requests while the warm engines are as good as full, so that all want the engine that has returned.
// Two owners grant for some time, as while hosts disagree about the owner, and requests take 1 to 40 ms to arrive.
TEST(warmup_test, arrivals_at_a_cold_engine_stay_under_the_bound_in_any_second)
{
    directory.apply(now, record("new"));
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        std::mt19937 random(seed);
        std::uniform_int_distribution<int> delay(1, 40);
        std::vector<upstream_limits> owners(2);
        for (auto& it : owners) {
            it.set_warmup([](instant, const upstream_id&) { return std::optional<double>(profile.requests_per_s); });
        }
        std::vector<instant> arrivals;
        const auto start = now;
        for (auto at = start; at < start + seconds(5); at += milliseconds(1)) {
            const bool disagree = at > start + seconds(2) && at < start + seconds(3);
            auto& owner = owners[disagree ? random() % 2 : 0];
            if (owner.take(at, upstream_id("new")).count() == 0) {
                arrivals.push_back(at + milliseconds(delay(random)));
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            while (arrivals[i] - arrivals[first] >= seconds(1)) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        CHECK_TRUE_TEXT(static_cast<double>(most) <= profile.requests_per_s * overage + slack,
                        fmt::format("{} arrivals in a second, seed {}", most, seed).c_str());
        // The engine is used while it is cold: at least half of what it tolerates.
        CHECK(static_cast<double>(arrivals.size()) >= 5 * profile.requests_per_s / 2);
    }
}

// Guards against a cold engine that gets its work one request after the other because it looks empty, while warm ones
// have room.
TEST(warmup_test, warm_engine_is_preferred_to_a_cold_one_with_little_less_work)
{
    directory.apply(now, record("new"));
    load_table loads;
    loads.add(upstream_id("known"), {2, 0, 4000, 0});
    service_profile engines;
    engines.name = service;
    engines.engine = engine_profile{24, 27'000, 4, true};
    const selection_input input{now, &directory, &loads, zone_name("a"), {}};
    STRCMP_EQUAL("known", select_engine(input, engines, {3000, 1})->id.str().c_str());
    loads.add(upstream_id("known"), {21, 0, 20'000, 0});
    STRCMP_EQUAL("new", select_engine(input, engines, {3000, 1})->id.str().c_str());
}
