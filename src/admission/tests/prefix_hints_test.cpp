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

// Guards against a table that grows with every prompt that callers invent.
TEST(prefix_hints_test, the_prefix_noted_longest_ago_gives_way)
{
    settings.prefix_limit = 3;
    prefix_hints hints(settings);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        hints.note(now, e0, i);
    }
    hints.note(now, e1, 1);
    hints.note(now, e0, 4);
    CHECK_EQUAL(3, hints.size());
    DOUBLES_EQUAL(0, hints.weight(now, e0, 2), 0);
    DOUBLES_EQUAL(1, hints.weight(now, e0, 1), 0);
    DOUBLES_EQUAL(1, hints.weight(now, e0, 4), 0);
}

// Guards against a list of engines per prefix that grows with the cell.
TEST(prefix_hints_test, the_engine_noted_longest_ago_gives_way)
{
    settings.engines_per_prefix = 2;
    prefix_hints hints(settings);
    hints.note(now - seconds(2), e0, 1);
    hints.note(now - seconds(3), e1, 1);
    hints.note(now, e2, 1);
    DOUBLES_EQUAL(0, hints.weight(now, e1, 1), 0);
    CHECK(hints.weight(now, e0, 1) > 0.9);
    DOUBLES_EQUAL(1, hints.weight(now, e2, 1), 0);
}

// Guards against entries without hints that count against the limit.
TEST(prefix_hints_test, a_prefix_without_hints_takes_no_room)
{
    prefix_hints hints(settings);
    hints.note(now, e0, 1);
    hints.note(now, e0, 2);
    hints.note(now, e1, 2);
    hints.evict(now, e0, 1);
    CHECK_EQUAL(1, hints.size());
    hints.forget(e0);
    CHECK_EQUAL(1, hints.size());
    hints.forget(e1);
    CHECK_EQUAL(0, hints.size());
}
