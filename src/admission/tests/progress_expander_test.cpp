#include "admission/progress_expander.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(progress_expander_test)
{
    gateway_identity gateway{"gateway/entry-1/1"};
    progress_expander expander;

    static grant_progress entry(std::uint64_t number)
    {
        grant_progress out;
        out.id = grant_id("g" + std::to_string(number));
        out.engine = upstream_id("engine-1");
        out.number = number;
        return out;
    }
};

// Guards against progress in short form that is lost or applied to a grant of another gateway.
TEST(progress_expander_test, short_entries_get_the_fields_of_the_full_one)
{
    expander.expand(gateway, {{entry(1), entry(2)}, {}, false});
    const auto out = expander.expand(gateway, {{}, {{2, {7}, milliseconds(30)}}, false});
    LONGS_EQUAL(1, out.grants.size());
    STRCMP_EQUAL("g2", out.grants[0].id.str().c_str());
    LONGS_EQUAL(7, out.grants[0].output.count);
    LONGS_EQUAL(30, out.grants[0].silent.count());
    CHECK(expander.expand(gateway_identity("gateway/entry-2/1"), {{}, {{2, {7}, {}}}, false}).grants.empty());
}

// Guards against state that is kept after a grant has ended or its gateway was lost.
TEST(progress_expander_test, ended_grants_and_lost_gateways_are_removed)
{
    expander.expand(gateway, {{entry(1), entry(2)}, {}, false});
    auto ended = entry(1);
    ended.state = grant_state::finished;
    LONGS_EQUAL(1, expander.expand(gateway, {{ended}, {}, false}).grants.size());
    CHECK(expander.expand(gateway, {{}, {{1, {9}, {}}}, false}).grants.empty());
    expander.forget(gateway);
    CHECK(expander.expand(gateway, {{}, {{2, {9}, {}}}, false}).grants.empty());
}

// Guards against a grant that is ignored because its first entry has no names, and against an end that is not passed on
// for the same reason.
TEST(progress_expander_test, entries_without_names_are_passed_on_and_updated)
{
    progress_report first;
    first.briefs = {{grant_id("g1"), {3}, grant_state::running, milliseconds(10), 1}};
    LONGS_EQUAL(3, expander.expand(gateway, first).grants.at(0).output.count);
    const auto later = expander.expand(gateway, {{}, {{1, {7}, milliseconds(30)}}, false});
    STRCMP_EQUAL("g1", later.grants.at(0).id.str().c_str());
    LONGS_EQUAL(7, later.grants.at(0).output.count);
    progress_report last;
    last.briefs = {{grant_id("g1"), {9}, grant_state::finished, milliseconds(0), 1}};
    const auto ended = expander.expand(gateway, last);
    LONGS_EQUAL(1, ended.grants.size());
    CHECK(ended.grants[0].state == grant_state::finished && ended.grants[0].output.count == 9);
    CHECK(expander.expand(gateway, {{}, {{1, {11}, {}}}, false}).grants.empty());
}
