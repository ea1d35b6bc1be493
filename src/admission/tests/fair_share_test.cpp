#include "admission/fair_share.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(fair_share_test)
{
    fair_share share;
    organisation_id a{"a"};
    organisation_id b{"b"};
};

// Guards against shares that ignore weights.
TEST(fair_share_test, counters_are_divided_by_weight)
{
    share.set_weight(a, 2);
    share.set_weight(b, 1);
    share.charge(a, 100);
    share.charge(b, 100);
    DOUBLES_EQUAL(50, share.counter(a), 1e-9);
    DOUBLES_EQUAL(100, share.counter(b), 1e-9);
}

// Guards against an organisation that accumulates credit while idle and then blocks the others.
TEST(fair_share_test, return_from_idle_raises_the_counter)
{
    share.add_request(a, false);
    share.charge(a, 1000);
    share.add_request(b, false);
    DOUBLES_EQUAL(1000, share.counter(b), 1e-9);
}

// Guards against one organisation getting every grant of a tick.
TEST(fair_share_test, expected_tokens_count_until_delivered)
{
    share.add_request(a, false);
    share.add_expected(a, 300);
    CHECK(share.counter(b) < share.counter(a));
    share.add_expected(a, -300);
    DOUBLES_EQUAL(0, share.counter(a), 1e-9);
}

// Guards against an organisation that floods the service and is treated as being within its share.
TEST(fair_share_test, excess_is_the_service_beyond_the_share)
{
    share.add_request(a, true);
    share.add_request(b, true);
    share.charge(a, 900);
    share.charge(b, 100);
    DOUBLES_EQUAL(400, share.excess(a), 1e-9);
    DOUBLES_EQUAL(-400, share.excess(b), 1e-9);
}
