#include "apps/gateway/progress_table.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(progress_table_test)
{
    const std::string scheduler = "127.0.0.1:1";
    const upstream_id engine{"engine-1"};
    progress_table table{{milliseconds(100), milliseconds(500), 10}};
    instant now = instant(seconds(100));

    void add_grant(const std::string& id, milliseconds after_grant = milliseconds(10))
    {
        grant_progress value;
        value.id = grant_id(id);
        value.engine = engine;
        table.add_grant(scheduler, value, now - after_grant, now);
    }

    progress_report report()
    {
        auto all = table.take_reports(now);
        return all.empty() ? progress_report() : all.at(scheduler);
    }
};

// Guards against a delayed first report: a gateway with many grants reports rarely, and the scheduler must learn
// earlier that a new generation runs.
TEST(progress_table_test, new_grants_are_reported_between_periodic_reports)
{
    for (const auto* it : {"a", "b", "c", "d"}) {
        add_grant(it);
    }
    LONGS_EQUAL(4, report().briefs.size());
    add_grant("e");
    now += milliseconds(100);
    const auto early = report();
    LONGS_EQUAL(1, early.briefs.size());
    LONGS_EQUAL(0, early.updates.size());
    now += milliseconds(100);
    CHECK(table.take_reports(now).empty());
    // Four grants at ten entries per second give a period of 400 ms.
    now += milliseconds(200);
    LONGS_EQUAL(5, report().updates.size());
}

// Guards against a lost grant after a scheduler has taken over the address of another one: it does not know the earlier
// grant and cannot adopt an entry without names.
TEST(progress_table_test, a_grant_from_before_a_takeover_is_listed_in_full)
{
    (void)table.takeover_report({engine}, scheduler, now);
    now += milliseconds(10);
    add_grant("a", milliseconds(20));
    const auto out = report();
    LONGS_EQUAL(1, out.grants.size());
    LONGS_EQUAL(0, out.briefs.size());
}

// Guards against a grant that the scheduler has dropped because the generation started late: an entry without names
// would not restore it.
TEST(progress_table_test, a_grant_that_was_used_late_is_listed_in_full)
{
    add_grant("a", milliseconds(1500));
    LONGS_EQUAL(1, report().grants.size());
}

// Guards against a long generation whose grant stays unknown to its scheduler.
TEST(progress_table_test, grants_are_listed_in_full_periodically)
{
    add_grant("a");
    LONGS_EQUAL(1, report().briefs.size());
    now += seconds(10);
    LONGS_EQUAL(1, report().updates.size());
    now += seconds(10);
    LONGS_EQUAL(1, report().grants.size());
    now += seconds(1);
    LONGS_EQUAL(1, report().updates.size());
}

// Guards against a second full entry for a grant that the takeover report already contains.
TEST(progress_table_test, a_takeover_report_replaces_the_full_entry)
{
    add_grant("a");
    (void)report();
    const auto takeover = table.takeover_report({engine}, scheduler, now);
    CHECK(takeover.complete);
    LONGS_EQUAL(1, takeover.grants.size());
    now += milliseconds(500);
    const auto out = report();
    LONGS_EQUAL(0, out.grants.size());
    LONGS_EQUAL(1, out.updates.size());
}
