#include "dispatch/load_table.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(load_table_test)
{
    instant now = instant{} + seconds(100);
    upstream_id engine{"e"};
    host_id peer{"p"};
    load_table table;
};

TEST(load_table_test, sums_the_work_of_all_hosts)
{
    table.add(engine, {1, 3000, 4000, 0});
    table.set_peer_work(now, peer, {{engine, {2, 500, 9000, 1}}});
    const auto total = table.total(engine);
    LONGS_EQUAL(3, total.active);
    LONGS_EQUAL(3500, total.unread_tokens);
    LONGS_EQUAL(13'000, total.memory_tokens);
    LONGS_EQUAL(1, total.copies);
}

// Guards against work that is still counted after its host has crashed, so that engines appear full permanently.
TEST(load_table_test, work_of_a_silent_or_lost_host_is_dropped)
{
    table.set_peer_work(now, peer, {{engine, {2, 0, 0, 0}}});
    table.expire(now + load_table_limits().peer_timeout + milliseconds(1));
    LONGS_EQUAL(0, table.total(engine).active);
    table.set_peer_work(now, peer, {{engine, {2, 0, 0, 0}}});
    table.remove_peer(peer);
    LONGS_EQUAL(0, table.total(engine).active);
}

TEST(load_table_test, subtracting_own_work_removes_the_entry)
{
    table.add(engine, {1, 3000, 4000, 0});
    table.subtract(engine, {1, 3000, 4000, 0});
    CHECK(table.own().empty());
    table.subtract(engine, {1, 0, 0, 0});
    LONGS_EQUAL(0, table.total(engine).active);
}

// Guards against an outdated report that distorts the load.
TEST(load_table_test, a_report_counts_until_it_is_too_old)
{
    table.add(engine, {1, 0, 0, 0});
    table.on_report(now, engine, {5, 130, false});
    LONGS_EQUAL(130, table.pace_percent(now, engine));
    LONGS_EQUAL(100, table.pace_percent(now + load_table_limits().report_max_age + milliseconds(1), engine));
    LONGS_EQUAL(5, table.requests(now, engine));
    LONGS_EQUAL(1, table.requests(now + load_table_limits().report_max_age + milliseconds(1), engine));
}

TEST(load_table_test, failure_ratio_decays_and_is_low_after_one_failure)
{
    table.record_outcome(now, engine, true);
    CHECK(table.failure_ratio(now, engine) < 0.5);
    for (int i = 0; i < 10; ++i) {
        table.record_outcome(now, engine, true);
    }
    CHECK(table.failure_ratio(now, engine) > 0.8);
    CHECK(table.failure_ratio(now + seconds(60), engine) < 0.01);
    table.forget(engine);
    DOUBLES_EQUAL(0, table.failure_ratio(now, engine), 1e-9);
}

// Guards against capacity that is assigned twice because the report of its first user has not arrived yet.
TEST(load_table_test, a_reservation_counts_until_it_expires)
{
    table.reserve(now + milliseconds(60), engine, {1, 3000, 4000, 0});
    table.set_peer_work(now, peer, {{engine, {1, 0, 500, 0}}});
    table.expire(now + milliseconds(59));
    LONGS_EQUAL(2, table.total(engine).active);
    LONGS_EQUAL(4500, table.total(engine).memory_tokens);
    table.expire(now + milliseconds(60));
    LONGS_EQUAL(1, table.total(engine).active);
    CHECK(table.own().empty());
}

// Guards against work that is counted twice because the sums of the fleet include the work of this host.
TEST(load_table_test, sums_of_the_fleet_include_the_own_work)
{
    table.add(engine, {2, 0, 20, 0});
    table.set_peer_work(now, peer, {{engine, {1, 0, 10, 0}}});
    LONGS_EQUAL(3, table.total(engine).active);
    table.set_fleet_work(now, {{engine, {5, 0, 50, 0}}});
    LONGS_EQUAL(5, table.total(engine).active);
    table.add(engine, {4, 0, 40, 0});
    LONGS_EQUAL(6, table.total(engine).active);
    table.subtract(engine, {6, 0, 60, 0});
    table.set_fleet_work(now, {{engine, {}}});
    LONGS_EQUAL(0, table.total(engine).active);
}

// Guards against sums that count for good after their relay was lost.
TEST(load_table_test, sums_of_the_fleet_expire)
{
    table.set_fleet_work(now, {{engine, {5, 0, 50, 0}}});
    table.expire(now + load_table_limits().fleet_work_timeout + milliseconds(1));
    LONGS_EQUAL(0, table.total(engine).active);
    CHECK(table.totals().empty());
}
