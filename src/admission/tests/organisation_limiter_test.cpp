#include "admission/organisation_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(organisation_limiter_test)
{
    organisation_limiter limiter;
    organisation_id a{"a"};
    instant now = instant(seconds(100));
};

// Guards against an organisation exceeding its request rate.
TEST(organisation_limiter_test, requests_beyond_the_rate_wait)
{
    limiter.configure(now, a, {5, 0, 0});
    for (int i = 0; i < 10; ++i) {
        CHECK(!limiter.take_request(now, a));
    }
    const auto wait = limiter.take_request(now, a);
    CHECK(wait && wait->count() == 200);
    CHECK(!limiter.take_request(now + milliseconds(200), a));
}

// Guards against long outputs that are charged only at admission.
TEST(organisation_limiter_test, delivered_tokens_empty_the_bucket)
{
    limiter.configure(now, a, {0, 100, 0});
    limiter.charge(now, a, 500);
    const auto wait = limiter.take_request(now, a);
    CHECK(wait && wait->count() > 3000 && wait->count() < 3100);
    CHECK(!limiter.take_request(now + seconds(4), a));
}

TEST(organisation_limiter_test, without_limits_nothing_waits)
{
    CHECK(!limiter.take_request(now, a));
    limiter.configure(now, a, {});
    limiter.charge(now, a, 1e9);
    CHECK(!limiter.take_request(now, a));
}
