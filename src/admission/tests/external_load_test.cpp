#include "admission/external_load.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(external_load_test)
{
    external_load external;
    instant start = instant(seconds(100));

    void report(instant now, std::int64_t used, int running, milliseconds lag)
    {
        engine_load value;
        value.used = {used};
        value.running = running;
        value.lag = lag;
        external.report(now, value);
    }
};

// Guards against counting this scheduler's grants twice, in the report and in the forecast.
TEST(external_load_test, a_late_report_is_compared_with_the_use_at_its_time)
{
    external.record(start, 1000, 2);
    external.record(start + seconds(2), 9000, 12);
    report(start + seconds(2), 1400, 3, milliseconds(2000));
    DOUBLES_EQUAL(400 + 10'000 * 0.02 * 1.5, external.tokens_at(start + seconds(2), 10'000), 1);
    LONGS_EQUAL(1, external.running_difference());
}

// Guards against trusting an engine that has not reported for long.
TEST(external_load_test, the_margin_grows_with_age)
{
    report(start, 0, 0, milliseconds(0));
    DOUBLES_EQUAL(0, external.tokens_at(start, 10'000), 1e-6);
    CHECK(external.tokens_at(start + seconds(3), 10'000) > 400);
    DOUBLES_EQUAL(1000, external.tokens_at(start + seconds(60), 10'000), 1e-6);
}

// Guards against a report that was overtaken by a newer one.
TEST(external_load_test, an_older_report_changes_nothing)
{
    report(start, 100, 1, milliseconds(0));
    report(start + milliseconds(10), 5000, 9, milliseconds(500));
    DOUBLES_EQUAL(100, external.tokens_at(start, 10'000), 1e-6);
}
