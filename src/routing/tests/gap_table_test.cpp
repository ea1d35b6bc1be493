#include "routing/gap_table.h"

#include <CppUTest/TestHarness.h>

#include "routing/retry_budget.h"

using namespace anvillead;

TEST_GROUP(gap_table_test)
{
    instant now{};
    upstream_id fast{"fast"};
    upstream_id slow{"slow"};
    gap_table table{stall_limits{}};

    void record(const upstream_id& engine, milliseconds gap, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += gap;
            table.record(engine, now, gap);
        }
    }
};

// Guards against one fixed bound: late notice of a fast engine's stall, needless re-attachment to a slow one.
TEST(gap_table_test, each_engine_is_judged_by_its_own_pace)
{
    CHECK(table.pace(fast).bound == milliseconds(2000));
    record(fast, milliseconds(10), 100);
    record(slow, milliseconds(300), 100);
    CHECK(table.pace(fast).bound == milliseconds(250));
    CHECK(table.pace(slow).bound >= milliseconds(1200));
    CHECK(table.pace(slow).bound < milliseconds(1700));
    CHECK(table.pace(slow).last_token == now);
}

// Guards against a bound that never follows an engine that has become slower.
TEST(gap_table_test, the_recent_past_counts)
{
    record(fast, milliseconds(10), 20'000);
    record(fast, milliseconds(150), 400);
    CHECK(table.pace(fast).bound >= milliseconds(600));
}

// Guards against replayed events that make an engine look fast.
TEST(gap_table_test, events_read_together_do_not_count)
{
    record(fast, milliseconds(0), 1000);
    CHECK(table.pace(fast).bound == milliseconds(2000));
    table.keep_only([](const upstream_id&) { return false; });
    CHECK(table.pace(fast).last_token == instant{});
}

// Guards against retries that multiply the load of a failing system.
TEST(gap_table_test, retry_budget_is_earned_by_completed_requests)
{
    retry_budget budget({0.25, 2});
    CHECK(budget.take() && budget.take());
    CHECK(!budget.take());
    for (int i = 0; i < 4; ++i) {
        budget.refill();
    }
    CHECK(budget.take());
    CHECK(!budget.take());
}
