#include "dispatch/upstream_paths.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(upstream_paths_test)
{
    instant now = instant{} + seconds(1000);
    upstream_paths paths;
    const service_name engines{"engines"};
    const service_name registry{"registry"};
    const std::vector<upstream_id> usable = {upstream_id("a"), upstream_id("b"), upstream_id("c"), upstream_id("d")};

    void fail(const char* upstream, std::size_t count = 4)
    {
        paths.record_unreachable(now, engines, upstream_id(upstream), count);
    }
    void answer(const char* upstream, milliseconds ago = milliseconds(0))
    {
        paths.record_reached(now - ago, engines, upstream_id(upstream), usable.size());
    }
    void pass(milliseconds time)
    {
        now += time;
        paths.expire(now);
    }
};

// Guards against a host that goes on trying engine after engine, each until a time-out.
TEST(upstream_paths_test, path_is_lost_when_three_upstreams_in_a_row_cannot_be_reached)
{
    fail("a");
    pass(milliseconds(250));
    fail("b");
    CHECK(!paths.lost(engines));
    pass(milliseconds(250));
    fail("c");
    CHECK(paths.lost(engines));
    CHECK(!paths.lost(registry));
    CHECK(paths.any_lost());
}

// Guards against leaving out a host because one or two engines have failed for everyone.
TEST(upstream_paths_test, single_failures_among_answers_are_none_of_the_path)
{
    for (int i = 0; i < 20; ++i) {
        fail("a");
        pass(milliseconds(10));
        fail("b");
        pass(milliseconds(10));
        answer("c");
        pass(milliseconds(10));
    }
    for (const auto* it : {"a", "a", "a", "b", "a"}) {
        fail(it);
    }
    CHECK(!paths.any_lost());
}

// Guards against connecting failures that lie minutes apart.
TEST(upstream_paths_test, failures_far_apart_are_not_connected)
{
    for (const auto* it : {"a", "b", "c"}) {
        fail(it);
        pass(milliseconds(2500));
    }
    CHECK(!paths.any_lost());
}

// Guards against a service of one or two instances whose loss is never noticed.
TEST(upstream_paths_test, all_upstreams_of_a_small_service_suffice)
{
    fail("a", 2);
    CHECK(!paths.lost(engines));
    fail("b", 2);
    CHECK(paths.lost(engines));
}

// Guards against open connections that live on while new ones are refused, and hide the cut.
TEST(upstream_paths_test, answers_on_older_connections_prove_nothing)
{
    fail("a");
    pass(milliseconds(100));
    answer("b", milliseconds(150));
    fail("b");
    answer("c", milliseconds(150));
    fail("c");
    CHECK(paths.lost(engines));
    answer("d", milliseconds(150));
    answer("a", milliseconds(150));
    CHECK(paths.lost(engines));
}

// Guards against sending all callers back over the one path that is left.
TEST(upstream_paths_test, path_is_restored_by_answers_of_two_upstreams)
{
    int restored = 0;
    paths.set_hooks({[](const service_name&) {}, [&](const service_name&) { ++restored; }});
    for (const auto* it : {"a", "b", "c"}) {
        fail(it);
    }
    pass(milliseconds(500));
    answer("d");
    fail("a");
    answer("d");
    CHECK(paths.lost(engines));
    answer("b");
    CHECK(!paths.lost(engines));
    LONGS_EQUAL(1, restored);
}

// Guards against a storm of probes, and against a path that is never tried again.
TEST(upstream_paths_test, probes_are_few_and_reach_all_upstreams_in_turn)
{
    CHECK(paths.due_probes(now, engines, usable).empty());
    fail("a");
    CHECK(paths.due_probes(now, engines, usable).empty());
    pass(milliseconds(100));
    const auto first = paths.due_probes(now, engines, usable);
    LONGS_EQUAL(3, first.size());
    CHECK(first.front() == upstream_id("b"));
    fail("b");
    fail("c");
    std::set<upstream_id> probed;
    std::size_t count = 0;
    for (int i = 0; i < 40; ++i) {
        for (const auto& it : paths.due_probes(now, engines, usable)) {
            probed.insert(it);
            ++count;
        }
        pass(milliseconds(50));
    }
    LONGS_EQUAL(usable.size(), probed.size());
    CHECK(count <= 4 * path_settings().probes);
    CHECK(paths.due_probes(now, engines, {}).empty());
}

// Guards against a service that nobody asks for and that is taken as reached, although the host is cut off.
TEST(upstream_paths_test, doubt_leads_to_probes_and_passes)
{
    paths.record_doubt(now, registry);
    pass(milliseconds(100));
    CHECK(!paths.due_probes(now, registry, usable).empty());
    CHECK(!paths.lost(registry));
    pass(milliseconds(3000));
    CHECK(paths.doubtful().empty());
}
