#include "dispatch/evacuation_list.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace anvillead;

TEST_GROUP(evacuation_list_test)
{
    instant now = instant{} + seconds(1000);
    evacuation_list list;

    static std::set<zone_name> zones(const std::vector<std::string>& names)
    {
        std::set<zone_name> out;
        for (const auto& it : names) {
            out.insert(zone_name(it));
        }
        return out;
    }

    bool evacuated(const std::string& name)
    {
        return list.in_force().count(zone_name(name)) != 0;
    }
    void pass(milliseconds time)
    {
        now += time;
        list.expire(now);
    }
};

TEST(evacuation_list_test, entry_evacuates_a_zone_until_it_is_removed)
{
    CHECK(list.replace(now, {{}, {}, {1, 10}}));
    list.apply(now, zone_name("a"), true, {1, 12});
    CHECK(evacuated("a") && !evacuated("b"));
    // The store is silent for a minute.
    pass(seconds(60));
    CHECK(evacuated("a"));
    list.apply(now, zone_name("a"), false, {1, 15});
    CHECK(!evacuated("a"));
}

// Guards against a host that is behind and takes an evacuation back for the others.
TEST(evacuation_list_test, older_list_of_another_host_changes_nothing)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    CHECK(!list.replace(now, {{}, {}, {1, 19}}));
    list.apply(now, zone_name("a"), false, {1, 18});
    CHECK(evacuated("a"));
    CHECK(list.state().revision == store_revision(1, 20));
}

// Guards against requests to a zone whose evacuation the store has forgotten and the operator has not written again
// yet.
TEST(evacuation_list_test, evacuation_outlives_a_store_that_comes_back_without_it)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    list.replace(now, {{}, {}, {2, 15}});
    CHECK(evacuated("a"));
    pass(evacuation_limits().restore_time / 2);
    list.apply(now, zone_name("a"), true, {2, 16});
    pass(evacuation_limits().restore_time);
    CHECK(evacuated("a"));
}

TEST(evacuation_list_test, evacuation_that_is_not_written_again_ends)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    list.replace(now, {{}, {}, {2, 15}});
    pass(evacuation_limits().restore_time);
    CHECK(!evacuated("a"));
}

// Guards against a zone that stays unused because an older copy of the store still lists its evacuation.
TEST(evacuation_list_test, evacuation_that_has_ended_is_not_revived_by_an_older_copy)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    list.apply(now, zone_name("a"), false, {1, 22});
    pass(seconds(1));
    list.replace(now, {zones({"a"}), {}, {2, 19}});
    CHECK(!evacuated("a"));
    // The operator removes it again.
    list.apply(now, zone_name("a"), false, {2, 21});
    pass(evacuation_limits().restore_time);
    CHECK(!evacuated("a"));
}

// Guards against a new evacuation that is taken for one that had ended before the store came back.
TEST(evacuation_list_test, evacuation_after_the_return_of_the_store_is_in_force_at_once)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    list.apply(now, zone_name("a"), false, {1, 22});
    list.replace(now, {zones({"a"}), {}, {2, 19}});
    list.apply(now, zone_name("a"), true, {2, 21});
    CHECK(evacuated("a"));
    list.apply(now, zone_name("b"), true, {2, 23});
    CHECK(evacuated("b"));
}

// Guards against a host that has started after the store came back and misses what the others still hold.
TEST(evacuation_list_test, started_host_holds_what_the_others_hold)
{
    list.replace(now, {zones({"a"}), {}, {1, 20}});
    list.replace(now, {{}, {}, {2, 15}});
    evacuation_list started;
    started.replace(now, list.state());
    CHECK(started.in_force().count(zone_name("a")) != 0);
    started.expire(now + evacuation_limits().restore_time);
    CHECK(started.in_force().empty());
}

// Guards against a list that grows without a bound.
TEST(evacuation_list_test, number_of_zones_is_bounded)
{
    std::set<zone_name> many;
    const auto most = evacuation_limits().max_zones;
    for (std::size_t i = 0; i < most + 5; ++i) {
        many.insert(zone_name(fmt::format("zone-{}", i)));
    }
    list.replace(now, {many, {}, {1, 20}});
    LONGS_EQUAL(most, list.in_force().size());
    LONGS_EQUAL(5, list.ignored());
}

// Guards against entries of other programs that displace the zones of the fleet, by a listing or by one change.
TEST(evacuation_list_test, zones_in_use_go_before_others_and_plain_names_before_odd_ones)
{
    evacuation_list bounded_list({}, [] { return zones({"z in use"}); });
    std::set<zone_name> many;
    for (std::size_t i = 0; i < evacuation_limits().max_zones; ++i) {
        many.insert(zone_name(fmt::format("a &{}", i)));
    }
    bounded_list.replace(now, {many, {}, {1, 20}});
    bounded_list.apply(now, zone_name("z in use"), true, {1, 21});
    bounded_list.apply(now, zone_name("z-plain_1."), true, {1, 22});
    LONGS_EQUAL(evacuation_limits().max_zones, bounded_list.in_force().size());
    CHECK(bounded_list.in_force().count(zone_name("z in use")) != 0);
    CHECK(bounded_list.in_force().count(zone_name("z-plain_1.")) != 0);
    bounded_list.apply(now, zone_name("z in use"), false, {1, 23});
    CHECK(bounded_list.in_force().count(zone_name("z in use")) == 0);
}
