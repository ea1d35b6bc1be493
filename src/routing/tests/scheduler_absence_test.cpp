#include "routing/scheduler_absence.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(scheduler_absence_test)
{
    static constexpr milliseconds wait_limit{8'000};
    instant now = instant{} + seconds(100);
    service_name pool{"pool"};
    scheduler_absence absence{wait_limit, 1};
};

// Guards against requests that wait without limit while no scheduler is alive, and against refusals during a takeover.
TEST(scheduler_absence_test, requests_are_refused_only_after_the_wait_limit)
{
    CHECK(!absence.absence_retry_after(now, pool));
    absence.observe(now, pool, false);
    now += wait_limit - milliseconds(1);
    absence.observe(now, pool, false);
    CHECK(!absence.absence_retry_after(now, pool));
    now += milliseconds(1);
    const auto delay = absence.absence_retry_after(now, pool);
    CHECK(delay && *delay >= wait_limit && *delay <= wait_limit * 3 / 2);
}

// Guards against counting an absence that has ended, and against an unbounded Retry-After.
TEST(scheduler_absence_test, a_link_ends_the_absence_and_the_delay_is_bounded)
{
    absence.observe(now, pool, false);
    now += seconds(600);
    CHECK(*absence.absence_retry_after(now, pool) <= seconds(45));
    absence.observe(now, pool, true);
    CHECK(!absence.absence_retry_after(now, pool));
    absence.observe(now, pool, false);
    CHECK(!absence.absence_retry_after(now, pool));
}
