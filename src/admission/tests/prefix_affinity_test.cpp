#include "admission/prefix_affinity.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace anvillead;

namespace {

constexpr std::uint64_t prefix = 77;
// 128 prompt tokens then cost as much as 5.12 generations.
constexpr double per_token = 0.04;

} // namespace

TEST_GROUP(prefix_affinity_test)
{
    affinity_settings settings;
    instant now = instant(seconds(1000));
    std::vector<affinity_candidate> open;

    void setup() override
    {
        settings.enabled = true;
        for (int i = 0; i < 6; ++i) {
            open.push_back({upstream_id(fmt::format("e{}", i)), 10});
        }
    }

    std::vector<std::size_t> order(const prefix_affinity& value, work_class served = work_class::draft,
                                   std::uint64_t wanted = prefix) const
    {
        return value.preferred(now, open, wanted, {600}, served, per_token);
    }

    std::size_t home() const
    {
        return order(prefix_affinity(settings)).front();
    }

    /// A candidate that rendezvous does not choose.
    std::size_t other() const
    {
        return (home() + 1) % open.size();
    }
};

// Guards against a prompt that is computed again although an engine holds its start.
TEST(prefix_affinity_test, a_hint_is_preferred)
{
    prefix_affinity affinity(settings);
    const auto held = other();
    affinity.placed(now, open[held].engine, prefix);
    CHECK_EQUAL(held, order(affinity).front());
    // 1 generation more than the others costs less than the prompt.
    open[held].cost = 11;
    CHECK_EQUAL(held, order(affinity).front());
    CHECK_EQUAL(open.size(), order(affinity).size());
}

// Guards against a stored prefix that the scheduler did not place itself, as after a takeover.
TEST(prefix_affinity_test, an_event_of_the_engine_gives_a_hint)
{
    prefix_affinity affinity(settings);
    const auto held = other();
    affinity.observe(now, open[held].engine, {{prefix, false, milliseconds(2000)}});
    CHECK_EQUAL(held, order(affinity).front());
}

// Guards against a longer step for a prefix that the engine has probably evicted without saying so.
TEST(prefix_affinity_test, a_hint_loses_weight_and_ends)
{
    settings.load_factor = 10;
    prefix_affinity affinity(settings);
    const auto held = other();
    const auto first = home();
    affinity.placed(now, open[held].engine, prefix);
    open[held].cost = 14;
    CHECK_EQUAL(held, order(affinity).front());
    now += settings.hint_lifetime / 2;
    CHECK_EQUAL(first, order(affinity).front());
    open[held].cost = 10;
    CHECK_EQUAL(held, order(affinity).front());
    now += settings.hint_lifetime / 2;
    CHECK_EQUAL(first, order(affinity).front());
}

// Guards against work sent for a prefix that the engine has said it evicted, and against the loss of a newer hint by a
// late event.
TEST(prefix_affinity_test, an_eviction_ends_older_hints_only)
{
    prefix_affinity affinity(settings);
    const auto held = other();
    affinity.placed(now - seconds(1), open[held].engine, prefix);
    affinity.observe(now, open[held].engine, {{prefix, true, milliseconds(2000)}});
    CHECK_EQUAL(held, order(affinity).front());
    affinity.observe(now, open[held].engine, {{prefix, true, milliseconds(500)}});
    CHECK_EQUAL(home(), order(affinity).front());
    affinity.placed(now, open[held].engine, prefix);
    affinity.engine_lost(open[held].engine);
    CHECK_EQUAL(home(), order(affinity).front());
}

// Guards against equal prefixes on different engines while nothing is known, for example after a takeover.
TEST(prefix_affinity_test, equal_prefixes_meet_without_hints)
{
    std::vector<int> met(open.size());
    for (std::uint64_t i = 1; i <= 600; ++i) {
        const auto chosen = order(prefix_affinity(settings), work_class::draft, i).front();
        CHECK_EQUAL(chosen, order(prefix_affinity(settings), work_class::draft, i).front());
        ++met[chosen];
    }
    for (const int it : met) {
        CHECK(it > 60);
    }
}

// Guards against one popular prefix that overloads its engine, with and without a hint for it.
TEST(prefix_affinity_test, an_engine_above_the_load_bound_is_passed_over)
{
    prefix_affinity affinity(settings);
    const auto first = home();
    affinity.placed(now, open[first].engine, prefix);
    open[first].cost = 14;
    for (const auto index : order(affinity)) {
        CHECK(index != first);
    }
    CHECK_EQUAL(open.size() - 1, order(prefix_affinity(settings)).size());
}

// Guards against urgent requests behind a long batch: the mean of short and long batches would allow one.
TEST(prefix_affinity_test, urgent_requests_stay_on_short_batches)
{
    prefix_affinity affinity(settings);
    for (std::size_t i = 2; i < open.size(); ++i) {
        open[i].cost = 13;
        affinity.placed(now, open[i].engine, prefix);
    }
    for (const auto index : order(affinity, work_class::urgent)) {
        CHECK(index < 2);
    }
}

// Guards against a choice by an unknown prefix, and against a decision that is switched off.
TEST(prefix_affinity_test, nothing_is_preferred_without_a_prefix)
{
    CHECK(order(prefix_affinity(settings), work_class::draft, 0).empty());
    settings.enabled = false;
    CHECK(order(prefix_affinity(settings)).empty());
}
