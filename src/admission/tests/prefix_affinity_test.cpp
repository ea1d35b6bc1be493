#include "admission/prefix_affinity.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace anvillead;

namespace {

constexpr std::uint64_t prefix = 77;
// At this cost, 128 prompt tokens correspond to 5.12 generations.
constexpr double cost_per_token = 0.04;

} // namespace

TEST_GROUP(prefix_affinity_test)
{
    affinity_settings settings;
    instant now = instant(seconds(1000));
    std::vector<affinity_candidate> candidates;

    void setup() override
    {
        settings.enabled = true;
        for (int i = 0; i < 6; ++i) {
            candidates.push_back({upstream_id(fmt::format("e{}", i)), 10});
        }
    }

    std::vector<std::size_t> order(const prefix_affinity& value, work_class served = work_class::draft,
                                   std::uint64_t wanted = prefix) const
    {
        return value.preferred(now, candidates, wanted, {600}, served, cost_per_token);
    }

    std::size_t rendezvous_choice() const
    {
        return order(prefix_affinity(settings)).front();
    }

    /// A candidate that rendezvous hashing does not choose.
    std::size_t other() const
    {
        return (rendezvous_choice() + 1) % candidates.size();
    }
};

// Guards against recomputing a prompt whose start is cached by an engine.
TEST(prefix_affinity_test, a_hint_is_preferred)
{
    prefix_affinity affinity(settings);
    const auto hinted = other();
    affinity.record_placement(now, candidates[hinted].engine, prefix);
    CHECK_EQUAL(hinted, order(affinity).front());
    // One generation more than the others costs less than computing the prompt.
    candidates[hinted].cost = 11;
    CHECK_EQUAL(hinted, order(affinity).front());
    CHECK_EQUAL(candidates.size(), order(affinity).size());
}

// Guards against ignoring a cached prefix that the scheduler did not place itself, for example after a takeover.
TEST(prefix_affinity_test, an_event_of_the_engine_gives_a_hint)
{
    prefix_affinity affinity(settings);
    const auto hinted = other();
    affinity.observe(now, candidates[hinted].engine, {{prefix, false, milliseconds(2000)}});
    CHECK_EQUAL(hinted, order(affinity).front());
}

// Guards against accepting a longer step for a prefix that the engine has probably evicted without an event.
TEST(prefix_affinity_test, a_hint_loses_weight_and_expires)
{
    settings.load_factor = 10;
    prefix_affinity affinity(settings);
    const auto hinted = other();
    const auto first = rendezvous_choice();
    affinity.record_placement(now, candidates[hinted].engine, prefix);
    candidates[hinted].cost = 14;
    CHECK_EQUAL(hinted, order(affinity).front());
    now += settings.hint_lifetime / 2;
    CHECK_EQUAL(first, order(affinity).front());
    candidates[hinted].cost = 10;
    CHECK_EQUAL(hinted, order(affinity).front());
    now += settings.hint_lifetime / 2;
    CHECK_EQUAL(first, order(affinity).front());
}

// Guards against placement by a prefix whose eviction was reported, and against a late event that removes a newer hint.
TEST(prefix_affinity_test, an_eviction_ends_older_hints_only)
{
    prefix_affinity affinity(settings);
    const auto hinted = other();
    affinity.record_placement(now - seconds(1), candidates[hinted].engine, prefix);
    affinity.observe(now, candidates[hinted].engine, {{prefix, true, milliseconds(2000)}});
    CHECK_EQUAL(hinted, order(affinity).front());
    affinity.observe(now, candidates[hinted].engine, {{prefix, true, milliseconds(500)}});
    CHECK_EQUAL(rendezvous_choice(), order(affinity).front());
    affinity.record_placement(now, candidates[hinted].engine, prefix);
    affinity.engine_lost(candidates[hinted].engine);
    CHECK_EQUAL(rendezvous_choice(), order(affinity).front());
}

// Guards against requests with the same prefix on different engines without hints, for example after a takeover.
TEST(prefix_affinity_test, equal_prefixes_get_the_same_engine_without_hints)
{
    std::vector<int> choices(candidates.size());
    for (std::uint64_t i = 1; i <= 600; ++i) {
        const auto chosen = order(prefix_affinity(settings), work_class::draft, i).front();
        CHECK_EQUAL(chosen, order(prefix_affinity(settings), work_class::draft, i).front());
        ++choices[chosen];
    }
    for (const int it : choices) {
        CHECK(it > 60);
    }
}

// Guards against one popular prefix that overloads its engine, with and without a hint for it.
TEST(prefix_affinity_test, an_engine_above_the_cost_limit_is_skipped)
{
    prefix_affinity affinity(settings);
    const auto first = rendezvous_choice();
    affinity.record_placement(now, candidates[first].engine, prefix);
    candidates[first].cost = 14;
    for (const auto index : order(affinity)) {
        CHECK(index != first);
    }
    CHECK_EQUAL(candidates.size() - 1, order(prefix_affinity(settings)).size());
}

// Guards against urgent requests on engines with a long batch, which the limit by the mean cost would allow.
TEST(prefix_affinity_test, urgent_requests_stay_on_short_batches)
{
    prefix_affinity affinity(settings);
    for (std::size_t i = 2; i < candidates.size(); ++i) {
        candidates[i].cost = 13;
        affinity.record_placement(now, candidates[i].engine, prefix);
    }
    for (const auto index : order(affinity, work_class::urgent)) {
        CHECK(index < 2);
    }
}

// Guards against a preference for an unknown prefix, or while affinity is disabled.
TEST(prefix_affinity_test, nothing_is_preferred_without_a_prefix)
{
    CHECK(order(prefix_affinity(settings), work_class::draft, 0).empty());
    settings.enabled = false;
    CHECK(order(prefix_affinity(settings)).empty());
}
