#include "routing/hedged_grant_request.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(grant_race_test)
{
    hedged_grant_request race;
    bool a_open = true;
    bool b_open = true;

    void setup() override
    {
        race.ask("a");
        race.ask("b");
    }

    bool reachable(const std::string& address) const
    {
        return address == "a" ? a_open : b_open;
    }

    std::optional<refusal> refuse(const std::string& address, error_kind kind, milliseconds delay)
    {
        return race.on_refusal(address, {request_id("r"), kind, delay},
                               [this](const std::string& it) { return reachable(it); });
    }
};

// Guards against leaving the request in the queue of the slower scheduler.
TEST(grant_race_test, the_first_grant_withdraws_the_other_request)
{
    const auto withdrawn = race.on_grant("b");
    LONGS_EQUAL(1, withdrawn.size());
    STRCMP_EQUAL("a", withdrawn.front().c_str());
    CHECK(race.decided());
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(1)));
}

// Guards against failing a request on the refusal of one scheduler while the other may still grant it.
TEST(grant_race_test, a_refusal_is_final_once_both_have_refused)
{
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(700)));
    const auto last = refuse("b", error_kind::organisation_limit, milliseconds(900));
    CHECK(last && last->kind == error_kind::overloaded && last->retry_after == milliseconds(700));
}

// Guards against delaying the refusal for a scheduler that cannot answer.
TEST(grant_race_test, a_refusal_does_not_wait_for_a_closed_link)
{
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(700)));
    b_open = false;
    CHECK(race.on_unreachable([this](const std::string& it) { return reachable(it); }).has_value());
    CHECK(race.decided());
}

// Guards against counting a refusal twice, or one from a scheduler whose cell has moved.
TEST(grant_race_test, refusals_of_schedulers_that_are_not_awaited_are_ignored)
{
    race.drop("a");
    race.ask("c");
    CHECK(!refuse("a", error_kind::no_upstream, milliseconds(1)));
    CHECK(!refuse("b", error_kind::overloaded, milliseconds(5)));
    CHECK(!refuse("b", error_kind::overloaded, milliseconds(5)));
    CHECK(race.awaits("c"));
}

// Guards against failing a request because all links closed although no scheduler has refused it.
TEST(grant_race_test, closed_links_without_a_refusal_do_not_end_the_request)
{
    a_open = false;
    b_open = false;
    CHECK(!race.on_unreachable([this](const std::string& it) { return reachable(it); }));
}
