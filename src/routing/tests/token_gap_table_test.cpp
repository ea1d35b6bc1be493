#include "routing/token_gap_table.h"

#include <CppUTest/TestHarness.h>

#include "routing/retry_budget.h"

using namespace anvillead;

TEST_GROUP(gap_table_test)
{
    instant now{};
    upstream_id fast{"fast"};
    upstream_id slow{"slow"};
    token_gap_table table{stall_limits{}};

    void record(const upstream_id& engine, milliseconds gap, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += gap;
            table.record(engine, now, gap);
        }
    }
};

// Guards against one fixed timeout for all engines, with which a stall of a fast engine is detected late and a slow
// engine is re-attached to needlessly.
TEST(gap_table_test, each_engine_has_its_own_timeout)
{
    CHECK(table.pace(fast).stall_timeout == milliseconds(2000));
    record(fast, milliseconds(10), 100);
    record(slow, milliseconds(300), 100);
    CHECK(table.pace(fast).stall_timeout == milliseconds(250));
    CHECK(table.pace(slow).stall_timeout >= milliseconds(1200));
    CHECK(table.pace(slow).stall_timeout < milliseconds(1700));
    CHECK(table.pace(slow).last_token == now);
}

// Guards against a timeout that does not adapt to an engine that has become slower.
TEST(gap_table_test, the_timeout_follows_recent_gaps)
{
    record(fast, milliseconds(10), 20'000);
    record(fast, milliseconds(150), 400);
    CHECK(table.pace(fast).stall_timeout >= milliseconds(600));
}

// Guards against counting replayed events, which arrive without gaps and make an engine look fast.
TEST(gap_table_test, events_of_one_read_are_not_counted)
{
    record(fast, milliseconds(0), 1000);
    CHECK(table.pace(fast).stall_timeout == milliseconds(2000));
    table.retain_if([](const upstream_id&) { return false; });
    CHECK(table.pace(fast).last_token == instant{});
}

// Guards against retries that multiply the load on a failing system.
TEST(gap_table_test, completed_requests_refill_the_retry_budget)
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
