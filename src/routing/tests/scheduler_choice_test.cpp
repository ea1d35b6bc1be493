#include "routing/scheduler_choice.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(scheduler_choice_test)
{
    instant now = instant{} + seconds(100);
    scheduler_selector choice{7};
    std::vector<scheduler_candidate> candidates = {{"a", 4, true}, {"b", 4, true}, {"c", 4, true}, {"d", 4, true}};

    /// Returns how often each address is among the two chosen.
    std::map<std::string, int> chosen(int times)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < times; ++i) {
            for (const auto& it : choice.choose(now, candidates, 2)) {
                ++out[it];
            }
        }
        return out;
    }
};

// Guards against all gateways asking the same two schedulers after a start.
TEST(scheduler_choice_test, without_observations_the_choice_is_weighted_by_engines)
{
    candidates[3].engines = 1;
    const auto counts = chosen(1000);
    for (const auto* it : {"a", "b", "c"}) {
        CHECK(counts.at(it) > 450 && counts.at(it) < 750);
    }
    CHECK(counts.at("d") > 100 && counts.at("d") < 350);
}

// Guards against a choice that differs between two runs with the same seed.
TEST(scheduler_choice_test, the_same_seed_gives_the_same_choice)
{
    scheduler_selector other(7);
    for (int i = 0; i < 20; ++i) {
        CHECK(choice.choose(now, candidates, 2) == other.choose(now, candidates, 2));
    }
}

// Guards against sending requests to a scheduler where many requests of this gateway already wait.
TEST(scheduler_choice_test, waiting_requests_and_recent_waits_raise_the_cost)
{
    for (int i = 0; i < 8; ++i) {
        choice.on_request_sent("a");
        choice.on_request_sent("b");
        choice.on_grant(now, "b", milliseconds(400));
    }
    choice.on_request_sent("c");
    choice.on_request_sent("d");
    auto counts = chosen(100);
    LONGS_EQUAL(100, counts["c"]);
    LONGS_EQUAL(100, counts["d"]);
    // The old wait has decayed; the waiting requests still count.
    now += seconds(60);
    choice.on_grant(now, "c", milliseconds(300));
    counts = chosen(100);
    LONGS_EQUAL(0, counts["a"]);
    LONGS_EQUAL(0, counts["c"]);
}

// Guards against a withdrawal that makes a slow scheduler look fast, and a refusal that makes one look idle.
TEST(scheduler_choice_test, withdrawals_and_refusals_are_recorded_as_waits)
{
    for (const auto* it : {"a", "b", "c", "d"}) {
        choice.on_request_sent(it);
    }
    choice.on_withdrawn(now, "a", milliseconds(2000));
    choice.on_refusal(now, "b", milliseconds(3000));
    choice.on_grant(now, "c", milliseconds(10));
    choice.on_grant(now, "d", milliseconds(10));
    const auto counts = chosen(100);
    LONGS_EQUAL(0, counts.count("a"));
    LONGS_EQUAL(0, counts.count("b"));
}

// Guards against asking a scheduler that cannot answer or has no engine while another one is usable.
TEST(scheduler_choice_test, unusable_schedulers_are_excluded_unless_all_are)
{
    candidates[0].reachable = false;
    candidates[1].engines = 0;
    const auto counts = chosen(100);
    LONGS_EQUAL(0, counts.count("a"));
    LONGS_EQUAL(0, counts.count("b"));
    candidates.resize(2);
    CHECK(choice.choose(now, candidates, 2) == std::vector<std::string>{"b"});
    candidates.resize(1);
    CHECK(choice.choose(now, candidates, 2) == std::vector<std::string>{"a"});
    CHECK(choice.choose(now, {}, 2).empty());
}
