#include "admission/prefix_hints.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(prefix_hints_test)
{
    affinity_settings settings;
    instant now = instant(seconds(1000));
    const upstream_id e0{"e0"};
    const upstream_id e1{"e1"};
    const upstream_id e2{"e2"};
};

// Guards against a table that grows without bound with the number of different prompts.
TEST(prefix_hints_test, the_least_recently_recorded_prefix_is_dropped)
{
    settings.prefix_limit = 3;
    prefix_hints hints(settings);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        hints.record(now, e0, i);
    }
    hints.record(now, e1, 1);
    hints.record(now, e0, 4);
    CHECK_EQUAL(3, hints.size());
    DOUBLES_EQUAL(0, hints.weight(now, e0, 2), 0);
    DOUBLES_EQUAL(1, hints.weight(now, e0, 1), 0);
    DOUBLES_EQUAL(1, hints.weight(now, e0, 4), 0);
}

// Guards against a list of engines per prefix that grows with the size of the cell.
TEST(prefix_hints_test, the_least_recently_recorded_engine_is_dropped)
{
    settings.engines_per_prefix = 2;
    prefix_hints hints(settings);
    hints.record(now - seconds(2), e0, 1);
    hints.record(now - seconds(3), e1, 1);
    hints.record(now, e2, 1);
    DOUBLES_EQUAL(0, hints.weight(now, e1, 1), 0);
    CHECK(hints.weight(now, e0, 1) > 0.9);
    DOUBLES_EQUAL(1, hints.weight(now, e2, 1), 0);
}

// Guards against entries without hints that count towards the limit.
TEST(prefix_hints_test, a_prefix_without_hints_is_removed)
{
    prefix_hints hints(settings);
    hints.record(now, e0, 1);
    hints.record(now, e0, 2);
    hints.record(now, e1, 2);
    hints.evict(now, e0, 1);
    CHECK_EQUAL(1, hints.size());
    hints.remove_engine(e0);
    CHECK_EQUAL(1, hints.size());
    hints.remove_engine(e1);
    CHECK_EQUAL(0, hints.size());
}
