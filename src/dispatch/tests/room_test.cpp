#include <cstdio>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "dispatch/tests/room_load.h"

using namespace anvillead;

namespace {

struct arm
{
    const char* name;
    request_order order;
    bool short_waits;
};

// The order of before waits an eighth of the objective. First come, first served and strict priority wait as long as is
// useful, like the order by cost.
constexpr arm arms[] = {{"before", request_order::priority, true},
                        {"arrival", request_order::arrival, false},
                        {"priority", request_order::priority, false},
                        {"cost", request_order::cost, false}};

load_kind long_kind(double per_second, const std::string& organisation = "archive")
{
    return {"long", organisation,    per_second, 1, 3000, 3900, milliseconds(7000), milliseconds(4000),
            false,  milliseconds(0), seconds(60)};
}

load_kind brief_kind(double per_second, const std::string& organisation = "archive")
{
    return {"brief", organisation,    per_second, 1, 2200, 2500, milliseconds(600), milliseconds(1500),
            true,    milliseconds(0), seconds(60)};
}

} // namespace

// Too little room: who waits, who is refused and who is cut. Each test names its load; its bounds are what callers
// need. The figures of the three other orders stand beside them.
TEST_GROUP(room)
{
    using results = std::map<std::string, load_result>;

    /// Plays the load with each order and three seeds; returns the sums of the order by cost.
    results play(const char* load, room_load::options options, const std::vector<load_kind>& kinds)
    {
        results out;
        for (const auto& it : arms) {
            results sum;
            for (const unsigned seed : {1U, 2U, 3U}) {
                options.seed = seed;
                options.order = it.order;
                options.short_waits = it.short_waits;
                for (const auto& [name, value] : room_load(options, kinds).run()) {
                    add(sum[name], value);
                }
            }
            for (const auto& [name, value] : sum) {
                std::printf("%s: %-8s %-8s asked %5d in time %5d late %4d refused %4d again %4d cut %4d moved %4d mean "
                            "wait %4.0f ms largest tenth %d of %d\n",
                            load, it.name, name.c_str(), value.asked, value.in_time, value.late, value.refused,
                            value.refused_again, value.cut, value.moved, value.mean_wait_ms(), value.largest_served,
                            value.largest_asked);
            }
            if (it.order == request_order::cost) {
                out = sum;
            } else if (it.short_waits) {
                before = sum;
            }
        }
        return out;
    }

    static void add(load_result & sum, const load_result& value)
    {
        sum.asked += value.asked;
        sum.in_time += value.in_time;
        sum.late += value.late;
        sum.refused += value.refused;
        sum.cut += value.cut;
        sum.moved += value.moved;
        sum.refused_again += value.refused_again;
        sum.largest_asked += value.largest_asked;
        sum.largest_served += value.largest_served;
        sum.waited_ms += value.waited_ms;
    }

    results before;
};

// Load: a burst of long work, twice what the engines bear, beside short urgent requests of the same priority. While any
// long request is admitted, less than 1 in 200 of the short ones may be refused.
TEST(room, burst_of_long_work_beside_brief_requests)
{
    auto burst = long_kind(18);
    burst.from = milliseconds(4000);
    burst.to = milliseconds(10'000);
    burst.name = "burst";
    const auto out = play("long beside brief", {}, {long_kind(6), burst, brief_kind(14)});
    const auto& brief = out.at("brief");
    CHECK(brief.refused * 200 <= brief.asked);
    CHECK(brief.in_time * 100 >= brief.asked * 97);
    CHECK(out.at("long").served() + out.at("burst").served() > 0);
}

// Load: one organisation sends 90 of 100 long requests, more than the engines bear. The others, within their share,
// wait at most 1.2 times as long as alone, or one look at the queue, and are not refused.
TEST(room, batch_of_one_organisation_does_not_hold_up_the_others)
{
    auto small = long_kind(1.6, "small");
    small.name = "small";
    auto batch = long_kind(14.4, "batch");
    batch.name = "batch";
    const auto alone = play("alone", {}, {small}).at("small");
    const auto both = play("beside a batch", {}, {small, batch}).at("small");
    constexpr double look_ms = 8;
    // Room for the next one comes when one of the running generations ends.
    const double next_end_ms = 7000.0 / (12 * 6);
    CHECK_TRUE_TEXT(both.mean_wait_ms() <= 1.2 * alone.mean_wait_ms() + next_end_ms + look_ms,
                    fmt::format("{} and {} ms", alone.mean_wait_ms(), both.mean_wait_ms()).c_str());
    CHECK(both.refused * 100 <= both.asked);
}

// Load: a sixth of the engines leaves every 3.3 s while as much long work arrives as fits. Generations that run are
// worth more to their callers than new ones, so fewer are cut than refused, and at most half as many as in the order of
// before.
TEST(room, reclaimed_engines_in_a_burst)
{
    room_load::options options;
    options.leave_interval = milliseconds(3300);
    options.leaving = 2;
    const auto out = play("reclaimed engines", options, {long_kind(11), brief_kind(12)});
    const auto& value = out.at("long");
    CHECK(value.cut <= before.at("long").cut / 2);
    CHECK(out.at("brief").refused * 200 <= out.at("brief").asked);
}

// Load: all callers of a full fleet come back after their refusal. What comes back when the forecast says so finds
// room: at most one in ten of all is refused twice while a third more arrives than is borne.
TEST(room, callers_of_a_full_fleet_come_back)
{
    const auto out = play("full fleet", {}, {long_kind(13)});
    const auto& value = out.at("long");
    CHECK(value.refused_again * 10 <= value.asked);
    CHECK(value.refused_again <= before.at("long").refused_again);
}

// Load: requests of very different sizes on full engines. The largest tenth is served at least half as often as all.
TEST(room, largest_requests_are_not_starved)
{
    auto value = long_kind(12);
    value.memory_tokens = 8000;
    value.prompt_tokens = 6000;
    value.run_time = milliseconds(5000);
    auto small = long_kind(6);
    small.name = "small";
    small.memory_tokens = 1500;
    small.prompt_tokens = 1000;
    const auto out = play("uneven sizes", {}, {value, small}).at("long");
    CHECK(2 * out.largest_served * out.asked >= out.served() * out.largest_asked);
}

// Load: long work of priority 0 and of priority 2, which swap after half of the time. The more urgent one is served
// first in both halves.
TEST(room, two_priorities_that_swap)
{
    std::vector<load_kind> kinds;
    for (const bool swapped : {false, true}) {
        for (const bool first : {true, false}) {
            auto value = long_kind(8, first ? "first" : "second");
            value.priority = first != swapped ? 0 : 2;
            value.name = fmt::format("{} {}", value.priority == 0 ? "urgent" : "other", swapped ? "after" : "before");
            value.from = milliseconds(swapped ? 10'000 : 0);
            value.to = milliseconds(swapped ? 20'000 : 10'000);
            kinds.push_back(value);
        }
    }
    const auto out = play("swapped priorities", {}, kinds);
    for (const auto* half : {"before", "after"}) {
        const auto& urgent = out.at(std::string("urgent ") + half);
        const auto& other = out.at(std::string("other ") + half);
        CHECK(urgent.in_time * other.asked >= other.in_time * urgent.asked);
        CHECK(urgent.refused * 50 <= urgent.asked);
    }
}
