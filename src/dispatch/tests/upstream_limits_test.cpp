#include "dispatch/upstream_limits.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(upstream_limits_test)
{
    instant now = instant{} + seconds(1000);
    upstream_limits limits;
    upstream_id engine{"engine"};

    void name(double rate)
    {
        limits.update(now, {engine, rate, now});
    }

    /// Requests granted in `time` when one is asked for each `gap`.
    int granted(milliseconds time, milliseconds gap)
    {
        int out = 0;
        for (milliseconds passed{0}; passed < time; passed += gap) {
            now += gap;
            out += limits.take(now, engine).count() == 0 ? 1 : 0;
        }
        return out;
    }
};

// Guards against a rate of less than one request per host and second that is rounded to nothing or to one for each.
TEST(upstream_limits_test, low_rate_is_shared_by_many_hosts_without_rounding)
{
    name(1.7);
    // 295 hosts that each have a request a second.
    const int out = granted(seconds(40), milliseconds(3));
    CHECK(out >= 58);
    CHECK(out <= 68);
}

// Guards against unused rate that adds up and is then spent at once.
TEST(upstream_limits_test, pause_allows_no_burst_beyond_half_a_second)
{
    name(8);
    now += seconds(30);
    int burst = 0;
    while (limits.take(now, engine).count() == 0) {
        ++burst;
    }
    CHECK(burst >= 1);
    CHECK(burst <= 4);
}

// Guards against a rate that does not follow a lower or higher one, or stays after its end.
TEST(upstream_limits_test, follows_the_last_statement)
{
    name(100);
    now += seconds(5);
    name(1);
    CHECK(granted(seconds(4), milliseconds(10)) <= 5);
    name(20);
    CHECK(granted(seconds(4), milliseconds(10)) >= 60);
    now += milliseconds(1);
    name(-1);
    CHECK(!limits.limited(now, engine));
    LONGS_EQUAL(100, granted(seconds(1), milliseconds(10)));
}

// Guards against an old statement of another host that replaces a newer one.
TEST(upstream_limits_test, older_statements_are_dropped)
{
    name(2);
    limits.update(now, {engine, -1, now - milliseconds(100)});
    CHECK(limits.limited(now, engine));
    limits.update(now, {engine, 50, now - milliseconds(100)});
    DOUBLES_EQUAL(2, limits.find(engine)->rate, 0.001);
}

// Guards against an upstream that accepts nothing and whose recovery therefore nobody notices.
TEST(upstream_limits_test, rate_of_zero_still_allows_rare_requests)
{
    name(0);
    const int out = granted(seconds(40), milliseconds(10));
    CHECK(out >= 4);
    CHECK(out <= 10);
}

// Guards against a host that keeps asking for an upstream that has just refused.
TEST(upstream_limits_test, closed_upstream_opens_when_the_next_request_may_be_sent)
{
    name(2);
    limits.take(now, engine);
    const auto wait = limits.take(now, engine);
    CHECK(wait.count() > 0);
    limits.close(now, engine, wait);
    LONGS_EQUAL(1, limits.closed(now).size());
    LONGS_EQUAL(wait.count(), limits.next_opening(now).count());
    now += wait;
    LONGS_EQUAL(0, limits.closed(now).size());
    LONGS_EQUAL(0, limits.take(now, engine).count());
}

// Guards against traffic for each answer, and against limits of upstreams that are gone.
TEST(upstream_limits_test, repeated_statements_are_announced_once_a_second_and_forgotten)
{
    int announced = 0;
    for (int i = 0; i < 500; ++i) {
        name(3);
        announced += static_cast<int>(limits.take_changes().size());
        now += milliseconds(10);
    }
    CHECK(announced >= 4);
    CHECK(announced <= 6);
    now += seconds(120);
    limits.expire(now);
    LONGS_EQUAL(0, limits.all().size());
}

// Guards against a flood of upstreams that fills the memory.
TEST(upstream_limits_test, number_of_upstreams_is_bounded)
{
    for (int i = 0; i < 2000; ++i) {
        limits.update(now, {upstream_id(std::to_string(i)), 1, now});
    }
    LONGS_EQUAL(upstream_limit_settings().max_upstreams, limits.all().size());
}

// Guards against an upstream that asked for rest and gets requests, and against one that rests for good.
TEST(upstream_limits_test, resting_upstream_is_closed_until_its_rest_ends)
{
    limits.rest(now, engine, milliseconds(1500));
    limits.rest(now, engine, milliseconds(200));
    LONGS_EQUAL(1, limits.closed(now + milliseconds(1400)).size());
    LONGS_EQUAL(1500, limits.next_opening(now).count());
    LONGS_EQUAL(0, limits.closed(now + milliseconds(1500)).size());
    CHECK(!limits.limited(now, engine));
    for (int i = 0; i < 2000; ++i) {
        limits.rest(now, upstream_id(std::to_string(i)), seconds(1));
    }
    CHECK(limits.closed(now).size() <= upstream_limit_settings().max_upstreams);
}

// Guards against a brittle upstream that gets more requests at a time than it has slots, from all hosts together.
TEST(upstream_limits_test, brittle_upstream_gets_no_more_than_its_slots)
{
    limits.update(now, {engine, -1, now, 2});
    CHECK(limits.limited(now, engine));
    for (int i = 0; i < 3; ++i) {
        LONGS_EQUAL(0, limits.take_slot(now, engine, 3).count());
    }
    CHECK(limits.take_slot(now, engine, 3).count() > 0);
    limits.release_slot(now, engine, false);
    LONGS_EQUAL(0, limits.take_slot(now, engine, 3).count());
    // It has named no rate.
    LONGS_EQUAL(0, limits.take(now, engine).count());
}

// Guards against more refusals at a brittle upstream than it bears, whatever has filled its slots.
TEST(upstream_limits_test, refusals_of_a_brittle_upstream_keep_their_distance)
{
    limits.update(now, {engine, -1, now, 2});
    int refusals = 0;
    for (int passed = 0; passed < 10'000; passed += 10) {
        if (limits.take_slot(now, engine, 3).count() == 0) {
            limits.release_slot(now, engine, true);
            ++refusals;
        }
        now += milliseconds(10);
    }
    CHECK(refusals <= 2 * 10);
    CHECK(refusals >= 10);
}

// Guards against slots that are lost with the hosts that had them, and against limits that outlive the brittleness.
TEST(upstream_limits_test, slots_come_back_and_the_end_of_brittleness_opens_the_upstream)
{
    limits.update(now, {engine, -1, now, 0});
    LONGS_EQUAL(0, limits.take_slot(now, engine, 1).count());
    CHECK(limits.take_slot(now, engine, 1).count() > 0);
    now += upstream_limit_settings().slot_lifetime;
    LONGS_EQUAL(0, limits.take_slot(now, engine, 1).count());
    limits.release_slot(now, engine, true);
    CHECK(limits.take_slot(now, engine, 1).count() > 0);
    now += milliseconds(1);
    limits.update(now, {engine, -1, now, -1});
    CHECK(!limits.limited(now, engine));
    for (int i = 0; i < 100; ++i) {
        LONGS_EQUAL(0, limits.take_slot(now, engine, 1).count());
    }
}
