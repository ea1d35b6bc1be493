#include "apps/gateway/progress_table.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(progress_table_test)
{
    const std::string scheduler = "127.0.0.1:1";
    const upstream_id engine{"engine-1"};
    progress_table table{{milliseconds(100), milliseconds(500), 10}};
    instant now = instant(seconds(100));

    void begin(const std::string& id, milliseconds after_grant = milliseconds(10))
    {
        grant_progress value;
        value.id = grant_id(id);
        value.engine = engine;
        table.begin(scheduler, value, now - after_grant, now);
    }

    progress_report report()
    {
        auto all = table.take_reports(now);
        return all.empty() ? progress_report() : all.at(scheduler);
    }
};

// Guards against a new generation whose scheduler waits for the long period of a busy gateway to learn that it runs.
TEST(progress_table_test, new_grants_are_listed_between_two_lists_of_all)
{
    for (const auto* it : {"a", "b", "c", "d"}) {
        begin(it);
    }
    LONGS_EQUAL(4, report().briefs.size());
    begin("e");
    now += milliseconds(100);
    const auto early = report();
    LONGS_EQUAL(1, early.briefs.size());
    LONGS_EQUAL(0, early.updates.size());
    now += milliseconds(100);
    CHECK(table.take_reports(now).empty());
    // Four grants at ten entries a second were bounded to 400 ms.
    now += milliseconds(200);
    LONGS_EQUAL(5, report().updates.size());
}

// Guards against a scheduler that took the address of another and would not learn of a grant that the other gave: it
// cannot adopt an entry without names.
TEST(progress_table_test, a_grant_from_before_a_takeover_is_listed_in_full)
{
    (void)table.takeover_report({engine}, scheduler, now);
    now += milliseconds(10);
    begin("a", milliseconds(20));
    const auto out = report();
    LONGS_EQUAL(1, out.grants.size());
    LONGS_EQUAL(0, out.briefs.size());
}

// Guards against a generation that its scheduler has given up, because its start took long, and does not know again.
TEST(progress_table_test, a_grant_that_was_used_late_is_listed_in_full)
{
    begin("a", milliseconds(1500));
    LONGS_EQUAL(1, report().grants.size());
}

// Guards against a grant that its scheduler does not know for the rest of a long generation.
TEST(progress_table_test, grants_are_listed_in_full_now_and_then)
{
    begin("a");
    LONGS_EQUAL(1, report().briefs.size());
    now += seconds(10);
    LONGS_EQUAL(1, report().updates.size());
    now += seconds(10);
    LONGS_EQUAL(1, report().grants.size());
    now += seconds(1);
    LONGS_EQUAL(1, report().updates.size());
}

// Guards against a report of a grant that was listed for a new scheduler by the takeover report already.
TEST(progress_table_test, a_takeover_report_counts_as_the_full_entry)
{
    begin("a");
    (void)report();
    const auto takeover = table.takeover_report({engine}, scheduler, now);
    CHECK(takeover.complete);
    LONGS_EQUAL(1, takeover.grants.size());
    now += milliseconds(500);
    const auto out = report();
    LONGS_EQUAL(0, out.grants.size());
    LONGS_EQUAL(1, out.updates.size());
}
