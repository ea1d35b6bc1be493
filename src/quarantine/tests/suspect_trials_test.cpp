#include "quarantine/suspect_trials.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(suspect_trials_test)
{
    instant now = instant{} + seconds(1000);
    suspect_trials trials;

    static trial of(std::uint64_t request, const char* upstream, std::size_t crashes = 1, bool sound_before = false)
    {
        return {{trait_kind::whole_request, 0, request}, upstream_id(upstream), crashes, sound_before};
    }

    bool granted(const trial& value)
    {
        return trials.begin(now, value) == trial_verdict::granted;
    }
};

// Guards against seven hosts that each send the same deadly request before the first of them has seen a crash.
TEST(suspect_trials_test, one_request_with_a_trait_is_out_at_a_time)
{
    CHECK(granted(of(1, "a")));
    CHECK(trials.begin(now, of(1, "b")) == trial_verdict::wait);
    trials.end(of(1, "a"));
    CHECK(granted(of(1, "b")));
    trials.end_all_on(upstream_id("b"));
    CHECK(granted(of(1, "c")));
}

// Guards against holding back the sound neighbours of one crash.
TEST(suspect_trials_test, neighbours_of_one_crash_are_let_out_at_once)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        CHECK(granted(of(i, i % 2 == 0 ? "a" : "b")));
    }
}

// Guards against a popular sound call of which all but one wait.
TEST(suspect_trials_test, two_requests_that_were_served_before_are_out_at_a_time)
{
    CHECK(granted(of(1, "a", 1, true)));
    CHECK(granted(of(1, "b", 1, true)));
    CHECK(!granted(of(1, "c", 1, true)));
}

// Guards against two requests that hide each other, because they are on the same upstream at each crash.
TEST(suspect_trials_test, requests_of_two_crashes_are_kept_apart)
{
    CHECK(granted(of(1, "a", 2)));
    CHECK(trials.begin(now, of(2, "a", 2)) == trial_verdict::use_other_upstream);
    CHECK(granted(of(2, "b", 2)));
    CHECK(granted(of(3, "a", 1)));
}

// Guards against a request that is held back for good by a host that was lost during a trial, and a table without
// bound.
TEST(suspect_trials_test, trials_expire_and_are_bounded)
{
    const quarantine_limits limits;
    CHECK(granted(of(1, "a")));
    now += limits.trial_time;
    CHECK(granted(of(1, "a")));
    for (std::uint64_t i = 0; i < 2 * limits.max_trials; ++i) {
        CHECK(granted(of(100 + i, "a")));
    }
    CHECK(trials.count() <= limits.max_trials);
}
