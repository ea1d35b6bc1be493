#include "routing/scheduler_absence.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(scheduler_absence_test)
{
    static constexpr milliseconds bound{8'000};
    instant now = instant{} + seconds(100);
    service_name pool{"pool"};
    scheduler_absence absence{bound, 1};
};

// Guards against requests that wait without bound while no scheduler is alive, and against refusals during a takeover.
TEST(scheduler_absence_test, requests_are_refused_after_the_bound_only)
{
    CHECK(!absence.refuse_after(now, pool));
    absence.observe(now, pool, false);
    now += bound - milliseconds(1);
    absence.observe(now, pool, false);
    CHECK(!absence.refuse_after(now, pool));
    now += milliseconds(1);
    const auto delay = absence.refuse_after(now, pool);
    CHECK(delay && *delay >= bound && *delay <= bound * 3 / 2);
}

// Guards against an absence that is remembered after a scheduler has come back, and against a Retry-After without end.
TEST(scheduler_absence_test, a_link_ends_the_absence_and_the_delay_is_bounded)
{
    absence.observe(now, pool, false);
    now += seconds(600);
    CHECK(*absence.refuse_after(now, pool) <= seconds(45));
    absence.observe(now, pool, true);
    CHECK(!absence.refuse_after(now, pool));
    absence.observe(now, pool, false);
    CHECK(!absence.refuse_after(now, pool));
}
