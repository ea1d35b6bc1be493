#include "membership/member_table.h"

#include <algorithm>
#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>

#include "membership/datagram_authenticator.h"
#include "membership/upstream_marks.h"

using namespace anvillead;

namespace {

member random_record(std::mt19937& random)
{
    member out;
    out.host = host_id("h" + std::to_string(random() % 3));
    out.number = 1 + random() % 3;
    out.version = 1 + random() % 3;
    out.state = std::array{member_state::alive, member_state::suspect, member_state::dead}[random() % 3];
    out.leaving = random() % 4 == 0;
    return out;
}

bool equal(const member_table& a, const member_table& b)
{
    return std::equal(a.entries().begin(), a.entries().end(), b.entries().begin(), b.entries().end(),
                      [](const auto& x, const auto& y) {
                          return x.first == y.first && x.second.record.number == y.second.record.number &&
                                 x.second.record.version == y.second.record.version &&
                                 x.second.record.state == y.second.record.state &&
                                 x.second.record.leaving == y.second.record.leaving;
                      });
}

} // namespace

TEST_GROUP(member_table_test){};

// Guards against tables that never converge because the result depends on the order or repetition of gossip.
TEST(member_table_test, merging_is_independent_of_order_and_repetition)
{
    constexpr unsigned seed = 7;
    std::printf("[seed %u] ", seed);
    std::mt19937 random(seed);
    for (int round = 0; round < 500; ++round) {
        std::vector<member> records;
        records.reserve(18);
        for (int i = 0; i < 12; ++i) {
            records.push_back(random_record(random));
        }
        member_table a(100);
        member_table b(100);
        for (const auto& it : records) {
            a.merge(it, {});
        }
        const std::vector<member> repeated(records.begin(), records.begin() + 6);
        records.insert(records.end(), repeated.begin(), repeated.end());
        std::shuffle(records.begin(), records.end(), random);
        for (const auto& it : records) {
            b.merge(it, {});
        }
        CHECK(equal(a, b));
    }
}

// Guards against sending new work to a leaving host after an old record or a refutation arrives.
TEST(member_table_test, leaving_is_sticky_within_an_incarnation)
{
    std::mt19937 random(11);
    member_table table(100);
    member leaving;
    leaving.host = host_id("h0");
    leaving.number = 2;
    leaving.leaving = true;
    table.merge(leaving, {});
    for (int i = 0; i < 2000; ++i) {
        auto record = random_record(random);
        record.number = std::min<incarnation>(record.number, 2);
        record.version = random();
        table.merge(record, {});
        CHECK(table.find(host_id("h0"))->leaving);
    }
    member restarted = leaving;
    restarted.number = 3;
    restarted.leaving = false;
    table.merge(restarted, {});
    CHECK_FALSE(table.find(host_id("h0"))->leaving);
}

// Guards against unbounded growth of the table when hosts are replaced.
TEST(member_table_test, a_full_table_evicts_dead_members_only)
{
    member_table table(2);
    member one;
    one.number = 1;
    for (const auto* host : {"a", "b"}) {
        one.host = host_id(host);
        CHECK(table.merge(one, {}));
    }
    one.host = host_id("c");
    CHECK_FALSE(table.merge(one, {}));
    auto dead = *table.find(host_id("a"));
    dead.state = member_state::dead;
    table.merge(dead, {});
    CHECK(table.merge(one, {}));
    CHECK(table.find(host_id("a")) == nullptr);
}

TEST_GROUP(upstream_leave_table_test)
{
    upstream_leave_table table{10, milliseconds(5000)};
    upstream_leave_table::key engine{upstream_id("e1"), upstream_source::load};
    instant now = instant() + seconds(100);

    bool is_leaving() const
    {
        return !table.leaving().empty();
    }
};

// Guards against sending new work to a leaving upstream after a late load report.
TEST(upstream_leave_table_test, leaving_is_cleared_only_by_a_long_series_of_reports)
{
    table.report(now, engine, true);
    for (int i = 0; i < 24; ++i) {
        now += milliseconds(200);
        table.report(now, engine, false);
        CHECK(is_leaving());
    }
    table.report(now, engine, true);
    table.report(now + seconds(5), engine, false);
    CHECK(is_leaving());
    now += seconds(10);
    for (int i = 0; i <= 26; ++i) {
        table.report(now + milliseconds(200) * i, engine, false);
    }
    CHECK_FALSE(is_leaving());
}

TEST(upstream_leave_table_test, an_old_status_does_not_replace_a_newer_one)
{
    const auto merge = [&](std::uint64_t version, bool leaving) {
        table.merge({engine.first, engine.second, version, leaving});
    };
    merge(1, true);
    merge(2, false);
    merge(1, true);
    CHECK_FALSE(is_leaving());
    merge(2, true);
    merge(2, false);
    CHECK(is_leaving());
}

// Guards against one source clearing the status that another source still reports.
TEST(upstream_leave_table_test, an_upstream_is_leaving_while_any_source_says_so)
{
    const upstream_leave_table::key listed{engine.first, upstream_source::hosts};
    table.report(now, engine, true);
    table.report(now, listed, true);
    LONGS_EQUAL(1, table.leaving().size());
    table.report(now, engine, false);
    table.report(now + seconds(6), engine, false);
    CHECK(is_leaving());
    table.report(now, listed, false);
    table.report(now + seconds(6), listed, false);
    CHECK_FALSE(is_leaving());
}

TEST_GROUP(datagram_authenticator_test){};

// Guards against a key rotation that partitions the members, and against accepting unauthenticated datagrams.
TEST(datagram_authenticator_test, any_key_verifies_and_modified_datagrams_are_rejected)
{
    const datagram_authenticator old_first({"old", "new"});
    const datagram_authenticator new_first({"new", "old"});
    const datagram_authenticator other({"other"});
    auto signed_datagram = old_first.sign("payload");
    CHECK(new_first.verify(signed_datagram).value() == "payload");
    CHECK_FALSE(other.verify(signed_datagram).has_value());
    signed_datagram[0] ^= 1;
    CHECK_FALSE(old_first.verify(signed_datagram).has_value());
    CHECK_FALSE(old_first.verify("short").has_value());
}
