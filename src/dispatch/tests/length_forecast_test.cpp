#include "dispatch/length_forecast.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(length_forecast_test){};

// Guards against planning for the median only, which half of the answers exceed.
TEST(length_forecast_test, plans_more_than_the_estimate_and_never_more_than_the_limit)
{
    caller_request request;
    request.output_limit = 2000;
    request.expected_output = 700;
    CHECK(planned_output(request) > 700);
    CHECK(planned_output(request) <= 2000);
    request.expected_output = 1900;
    LONGS_EQUAL(2000, planned_output(request));
}

TEST(length_forecast_test, plans_a_fraction_of_the_limit_without_an_estimate)
{
    caller_request request;
    request.output_limit = 2000;
    const auto planned = planned_output(request);
    CHECK(planned > 0);
    CHECK(planned < 2000);
}
