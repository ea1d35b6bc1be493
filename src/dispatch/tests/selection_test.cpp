#include "dispatch/selection.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(selection_test)
{
    instant now = instant{} + seconds(100);
    upstream_directory directory;
    load_table loads;
    service_profile service;

    void setup() override
    {
        service.name = service_name("engines");
        service.engine = engine_profile{};
        service.engine->slots = 24;
        service.engine->memory_tokens = 34'450;
    }

    void add(const std::string& id, const std::string& zone = "a", int slots = 24)
    {
        upstream_record record;
        record.id = upstream_id(id);
        record.service = service.name;
        record.address = "10.0.0.1:1";
        record.availability_zone = zone_name(zone);
        record.slots = slots;
        directory.apply(now, record);
    }

    selection_input input() const
    {
        return {now, &directory, &loads, zone_name("a"), {}};
    }

    std::string engine(std::int64_t memory = 4000, std::uint64_t tie = 1) const
    {
        generation_need need;
        need.memory_tokens = memory;
        need.tie_breaker = tie;
        const auto out = select_engine(input(), service, need);
        return out ? out->id.str() : "";
    }
};

// A long prompt delays all generations on its engine. Guards against prompts that accumulate on one engine.
TEST(selection_test, prompts_are_spread_over_engines)
{
    add("e-1");
    add("e-2");
    add("e-3");
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 9; ++i) {
        const auto chosen = engine(3000, i);
        ++counts[chosen];
        loads.add(upstream_id(chosen), {1, 3000, 3000, 0});
    }
    LONGS_EQUAL(3, counts["e-1"]);
    LONGS_EQUAL(3, counts["e-2"]);
    LONGS_EQUAL(3, counts["e-3"]);
}

// Memory use grows during generation. Guards against a placement that makes an engine preempt generations.
TEST(selection_test, planned_memory_never_exceeds_the_limit)
{
    add("e-1");
    int placed = 0;
    while (engine() == "e-1" && placed < 100) {
        loads.add(upstream_id("e-1"), {1, 0, 4000, 0});
        ++placed;
    }
    CHECK(placed * 4000 <= service.engine->memory_tokens);
    LONGS_EQUAL(7, placed);
}

// Guards against a request that can never be placed because it exceeds the `memory_share` of an idle engine.
TEST(selection_test, an_idle_engine_accepts_a_request_above_the_memory_share)
{
    add("e-1");
    STRCMP_EQUAL("e-1", engine(34'000).c_str());
}

TEST(selection_test, leaving_and_excluded_engines_are_not_selected)
{
    add("e-1");
    add("e-2");
    directory.mark_leaving(now, upstream_id("e-1"));
    STRCMP_EQUAL("e-2", engine().c_str());
    auto excluding = input();
    excluding.excluded = {upstream_id("e-2")};
    CHECK(!select_engine(excluding, service, {}).has_value());
}

// Guards against unnecessary traffic between zones, and against overloading the local zone to avoid it.
TEST(selection_test, own_zone_is_preferred_up_to_a_difference_in_load)
{
    add("near", "a");
    add("far", "b");
    STRCMP_EQUAL("near", engine().c_str());
    loads.add(upstream_id("near"), {4, 3000, 12'000, 0});
    STRCMP_EQUAL("far", engine().c_str());
}

// An upstream fails some of its requests and appears idle because failures end quickly. Guards against sending it more
// requests than the others for that reason.
TEST(selection_test, failing_upstreams_are_avoided_until_failures_decay)
{
    add("good");
    add("bad");
    for (int i = 0; i < 6; ++i) {
        loads.record_outcome(now, upstream_id("bad"), true);
        loads.record_outcome(now, upstream_id("good"), false);
    }
    loads.add(upstream_id("good"), {5, 0, 0, 0});
    const auto chosen = select_instance(input(), service.name, 1);
    CHECK(chosen && chosen->id == upstream_id("good"));
    now += seconds(60);
    const auto later = select_instance(input(), service.name, 1);
    CHECK(later && later->id == upstream_id("bad"));
}

// One instance of a plain service is full. Guards against requests that queue there while other instances are free.
TEST(selection_test, full_instances_are_avoided_while_others_are_free)
{
    add("near", "a", 6);
    add("far", "b", 6);
    loads.add(upstream_id("near"), {9, 0, 0, 0});
    const auto chosen = select_instance(input(), service.name, 1);
    CHECK(chosen && chosen->id == upstream_id("far"));
}
