#include "claims/claim_pruner.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(claim_pruner_test)
{
    wall_time now{seconds(1'720'800'000)};
    pruning_limits limits;

    static platform_listing listing(const std::string& name)
    {
        platform_listing out;
        out.objects.push_back({name, 9, {}});
        return out;
    }
};

// Guards against deleting claims whose keys are still accepted.
TEST(claim_pruner_test, lists_only_windows_past_retention_and_margin)
{
    claim_pruner pruner(limits);
    std::int64_t last = 0;
    for (int i = 0; i < 500; ++i) {
        for (const auto& it : pruner.on_tick(now, {3})) {
            const auto prefix = std::get<list_claim_objects>(it).prefix;
            CHECK(prefix.substr(0, 10) == "claims/03/");
            last = std::stoll(prefix.substr(10));
            pruner.on_listed(prefix, platform_listing());
        }
    }
    const auto window_end = (last + 1) * 100 * claim_bucket_span;
    CHECK(wall_time(window_end) <= now - limits.keys.retention - limits.margin);
    CHECK(wall_time(window_end) > now - limits.keys.retention - limits.margin - seconds(2000));
}

// Guards against pruning that uses up the platform's call rate, which claims need.
TEST(claim_pruner_test, calls_per_tick_are_bounded_and_objects_are_deleted_by_version)
{
    claim_pruner pruner(limits);
    std::set<unsigned> all;
    for (unsigned i = 0; i < claim_shards; ++i) {
        all.insert(i);
    }
    const auto first = pruner.on_tick(now, all);
    LONGS_EQUAL(limits.calls_per_tick, first.size());
    const auto prefix = std::get<list_claim_objects>(first.front()).prefix;
    pruner.on_listed(prefix, listing(prefix + "07"));
    const auto second = pruner.on_tick(now, all);
    LONGS_EQUAL(limits.calls_per_tick, second.size());
    STRCMP_EQUAL((prefix + "07").c_str(), std::get<remove_claim_object>(second.front()).object.c_str());
    LONGS_EQUAL(9, std::get<remove_claim_object>(second.front()).version);
}

// Guards against several gateways pruning the same shard, and against skipping a window after a failed call.
TEST(claim_pruner_test, other_shards_are_skipped_and_failed_listings_are_retried)
{
    claim_pruner pruner(limits);
    CHECK(pruner.on_tick(now, {}).empty());
    const auto first = std::get<list_claim_objects>(pruner.on_tick(now, {5}).front()).prefix;
    pruner.on_listed(first, make_error(error_kind::platform_unavailable, ""));
    STRCMP_EQUAL(first.c_str(), std::get<list_claim_objects>(pruner.on_tick(now, {5}).front()).prefix.c_str());
}
