#include "dispatch/engine_speeds.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "dispatch/placement_scheduler.h"

using namespace anvillead;

namespace {

const service_name service("engines");
constexpr int engines = 45;
constexpr std::int64_t usual_gap = 310;
constexpr std::int64_t slow_gap = 403;

upstream_id engine(int number)
{
    return upstream_id(fmt::format("e{:02}", number));
}

bool is_slow(int number)
{
    return number % 3 == 0;
}

} // namespace

TEST_GROUP(engine_speeds_test)
{
    instant now = instant{} + seconds(1000);
    upstream_directory directory;
    load_table loads;
    engine_speeds speeds;
    service_profile profile;

    void setup() override
    {
        profile.name = service;
        profile.engine = engine_profile{24, 27'000, 4, true};
        for (int i = 0; i < engines; ++i) {
            upstream_record record;
            record.id = engine(i);
            record.service = service;
            record.availability_zone = zone_name("z");
            record.slots = 24;
            directory.apply(now, record);
        }
    }

    /// One generation on each engine, as other hosts report them.
    void report_all(const host_id& host, std::int64_t factor = 1)
    {
        load_table::work_map work;
        for (int i = 0; i < engines; ++i) {
            work[engine(i)] = {1, 0, 4000, 0, 1, factor * (is_slow(i) ? slow_gap : usual_gap)};
        }
        loads.set_peer_work(now, host, work);
    }

    void update(int times)
    {
        for (int i = 0; i < times; ++i) {
            now += engine_speed_limits().update_interval;
            speeds.update(now, directory, loads);
        }
    }
};

// Load: generations on engines of which each third is 1.3 times slower. It is known within a second.
TEST(engine_speeds_test, slower_engines_are_known_within_a_second)
{
    report_all(host_id("h"));
    update(5);
    for (int i = 0; i < engines; ++i) {
        DOUBLES_EQUAL(is_slow(i) ? 1.3 : 1.0, speeds.slowness(engine(i)), 0.02);
    }
}

// Guards against one engine that turns slow while it runs and goes on getting as much as the others.
TEST(engine_speeds_test, engine_that_turns_slow_is_known_within_a_second)
{
    report_all(host_id("h"));
    update(5);
    loads.set_peer_work(now, host_id("other"), {{engine(1), {3, 0, 12'000, 0, 3, 3 * 4 * usual_gap}}});
    update(5);
    CHECK(speeds.slowness(engine(1)) > 2);
    DOUBLES_EQUAL(1, speeds.slowness(engine(2)), 0.02);
}

// Guards against a host that reports gaps a hundred times too long and takes all engines out of use.
TEST(engine_speeds_test, wrong_reports_have_a_bounded_influence)
{
    report_all(host_id("h"));
    loads.set_peer_work(now, host_id("wrong"), {{engine(4), {1, 0, 4000, 0, 1, 100 * usual_gap}}});
    update(20);
    CHECK(speeds.slowness(engine(4)) <= engine_speed_limits().highest_ratio);
    DOUBLES_EQUAL(1, speeds.slowness(engine(5)), 0.02);
    // If all gaps are wrong by the same factor, nothing differs.
    loads.remove_peer(host_id("wrong"));
    report_all(host_id("h"), 100);
    update(20);
    DOUBLES_EQUAL(1, speeds.slowness(engine(4)), 0.05);
}

// Guards against a slow engine that is never tried again, and against a restarted one that counts as slow.
TEST(engine_speeds_test, what_is_known_fades_and_ends_with_a_restart)
{
    report_all(host_id("h"));
    update(5);
    loads.remove_peer(host_id("h"));
    const auto known = speeds.slowness(engine(0)) - 1;
    now += engine_speed_limits().half_life;
    update(1);
    DOUBLES_EQUAL(known / 2, speeds.slowness(engine(0)) - 1, 0.02);
    // A restarted engine counts like the average of the others until it is known.
    speeds.forget(engine(0));
    const auto unknown = speeds.slowness(engine(0));
    CHECK(unknown > 1 && unknown < 1.1);
}

// Load: long answers and brief ones at the usual rate. Long ones gather on the faster engines, brief ones fill the
// rest.
TEST(engine_speeds_test, long_answers_go_to_faster_engines_and_brief_ones_to_the_rest)
{
    report_all(host_id("h"));
    update(5);
    loads.remove_peer(host_id("h"));
    int long_on_slow = 0;
    int brief_on_slow = 0;
    constexpr int requests = 210;
    for (int i = 0; i < requests; ++i) {
        const bool brief = i % 3 == 0;
        const generation_need need = brief ? generation_need{2600, 2500, 10, static_cast<std::uint64_t>(i)}
                                           : generation_need{3800, 3000, 800, static_cast<std::uint64_t>(i)};
        const auto chosen = select_engine({now, &directory, &loads, zone_name("z"), {}, &speeds}, profile, need);
        CHECK(chosen.has_value());
        loads.add(chosen->id, {1, need.prompt_tokens / 4, need.memory_tokens, 0});
        const bool slow = is_slow(std::stoi(chosen->id.str().substr(1)));
        long_on_slow += slow && !brief ? 1 : 0;
        brief_on_slow += slow && brief ? 1 : 0;
    }
    CHECK(long_on_slow * 20 <= requests);
    CHECK(brief_on_slow > 0);
}

// Guards against hosts with the same news that all choose the engine that looks fastest: 300 requests in a second
// through one scheduler, after each change of the speeds. Most loaded / mean of the usual engines is under 1.3.
TEST(engine_speeds_test, hosts_with_the_same_news_do_not_meet_on_one_engine)
{
    placement_scheduler scheduler(
        directory, loads, [this](const service_name&) { return &profile; },
        [](const host_id&, const placement_response&) {});
    scheduler.set_speeds(&speeds);
    for (const int fast : {7, 11, 20}) {
        load_table::work_map work;
        for (int i = 0; i < engines; ++i) {
            work[engine(i)] = {0, 0, 0, 0, 1, i == fast ? usual_gap * 9 / 10 : usual_gap};
        }
        loads.set_peer_work(now, host_id("h"), work);
        update(5);
        const auto before = loads.totals();
        for (int i = 0; i < 150; ++i) {
            placement_request question;
            question.request = request_id(fmt::format("r{}-{}", fast, i));
            question.number = static_cast<std::uint64_t>(i);
            question.service = service;
            question.prompt_tokens = 600;
            question.memory_tokens = 900;
            scheduler.ask(now, host_id("asker"), question);
        }
        int most = 0;
        int sum = 0;
        for (int i = 0; i < engines; ++i) {
            const auto taken = loads.total(engine(i)).active - before.at(engine(i)).active;
            most = std::max(most, taken);
            sum += taken;
        }
        LONGS_EQUAL(150, sum);
        // Whole requests: one more than the mean is as even as it can be.
        CHECK_TRUE_TEXT(most * engines <= 1.3 * sum + engines, fmt::format("{} of {}", most, sum).c_str());
        now += seconds(1);
        loads.expire(now);
    }
}
