#include "routing/grant_race.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(grant_race_test)
{
    grant_race race;
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

// Guards against a request that stays in the queue of the scheduler that was slower.
TEST(grant_race_test, the_first_grant_withdraws_the_other_request)
{
    const auto withdrawn = race.on_grant("b");
    LONGS_EQUAL(1, withdrawn.size());
    STRCMP_EQUAL("a", withdrawn.front().c_str());
    CHECK(race.decided());
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(1)));
}

// Guards against a refusal by one scheduler while the other would serve the request.
TEST(grant_race_test, a_refusal_counts_once_both_have_refused)
{
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(700)));
    const auto last = refuse("b", error_kind::organisation_limit, milliseconds(900));
    CHECK(last && last->kind == error_kind::overloaded && last->retry_after == milliseconds(700));
}

// Guards against a final answer that is held back for a scheduler that cannot answer.
TEST(grant_race_test, a_refusal_is_not_held_back_for_a_closed_link)
{
    CHECK(!refuse("a", error_kind::overloaded, milliseconds(700)));
    b_open = false;
    CHECK(race.on_unreachable([this](const std::string& it) { return reachable(it); }).has_value());
    CHECK(race.decided());
}

// Guards against the refusal by a scheduler whose cell has moved, and one that is counted twice.
TEST(grant_race_test, only_awaited_schedulers_refuse)
{
    race.drop("a");
    race.ask("c");
    CHECK(!refuse("a", error_kind::no_upstream, milliseconds(1)));
    CHECK(!refuse("b", error_kind::overloaded, milliseconds(5)));
    CHECK(!refuse("b", error_kind::overloaded, milliseconds(5)));
    CHECK(race.awaits("c"));
}

// Guards against a closed link that ends a request which nobody has refused.
TEST(grant_race_test, a_closed_link_alone_refuses_nothing)
{
    a_open = false;
    b_open = false;
    CHECK(!race.on_unreachable([this](const std::string& it) { return reachable(it); }));
}
