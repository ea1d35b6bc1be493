#include "membership/member_table.h"

#include <algorithm>
#include <cstdio>
#include <random>

#include <CppUTest/TestHarness.h>

#include "membership/datagram_seal.h"
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

// Guards against members that never agree because the result depends on the order or repetition of gossip.
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

// Guards against a leaving host that gets new work again because an old or refuting record arrives.
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

// Guards against a table that grows without a bound when hosts are replaced.
TEST(member_table_test, a_full_table_replaces_dead_members_only)
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

TEST_GROUP(upstream_marks_test)
{
    upstream_marks marks{10, milliseconds(5000)};
    upstream_marks::key engine{upstream_id("e1"), upstream_source::load};
    instant now = instant() + seconds(100);

    bool is_leaving() const
    {
        return !marks.leaving().empty();
    }
};

// Guards against a late load report that gives a leaving upstream new work.
TEST(upstream_marks_test, only_a_long_run_of_reports_clears_a_mark)
{
    marks.report(now, engine, true);
    for (int i = 0; i < 24; ++i) {
        now += milliseconds(200);
        marks.report(now, engine, false);
        CHECK(is_leaving());
    }
    marks.report(now, engine, true);
    marks.report(now + seconds(5), engine, false);
    CHECK(is_leaving());
    now += seconds(10);
    for (int i = 0; i <= 26; ++i) {
        marks.report(now + milliseconds(200) * i, engine, false);
    }
    CHECK_FALSE(is_leaving());
}

TEST(upstream_marks_test, an_old_mark_does_not_come_back)
{
    const auto mark = [&](std::uint64_t version, bool leaving) {
        marks.merge({engine.first, engine.second, version, leaving});
    };
    mark(1, true);
    mark(2, false);
    mark(1, true);
    CHECK_FALSE(is_leaving());
    mark(2, true);
    mark(2, false);
    CHECK(is_leaving());
}

// Guards against one source that clears what another still reports.
TEST(upstream_marks_test, an_upstream_is_leaving_while_any_source_says_so)
{
    const upstream_marks::key listed{engine.first, upstream_source::hosts};
    marks.report(now, engine, true);
    marks.report(now, listed, true);
    LONGS_EQUAL(1, marks.leaving().size());
    marks.report(now, engine, false);
    marks.report(now + seconds(6), engine, false);
    CHECK(is_leaving());
    marks.report(now, listed, false);
    marks.report(now + seconds(6), listed, false);
    CHECK_FALSE(is_leaving());
}

TEST_GROUP(datagram_seal_test){};

// Guards against a key rotation that separates the members, and against unauthenticated datagrams.
TEST(datagram_seal_test, any_key_opens_and_damage_is_refused)
{
    const datagram_seal old_first({"old", "new"});
    const datagram_seal new_first({"new", "old"});
    const datagram_seal other({"other"});
    auto sealed = old_first.seal("payload");
    CHECK(new_first.open(sealed).value() == "payload");
    CHECK_FALSE(other.open(sealed).has_value());
    sealed[0] ^= 1;
    CHECK_FALSE(old_first.open(sealed).has_value());
    CHECK_FALSE(old_first.open("short").has_value());
}
