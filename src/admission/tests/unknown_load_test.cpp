#include "admission/unknown_load.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(unknown_load_test)
{
    unknown_load unknown;
    instant start = instant(seconds(100));

    void report(instant now, std::int64_t used, int running, milliseconds lag)
    {
        engine_load value;
        value.used = {used};
        value.running = running;
        value.lag = lag;
        unknown.report(now, value);
    }
};

// Guards against own grants counting twice: in the report and in the forecast.
TEST(unknown_load_test, a_late_report_is_compared_with_the_own_use_of_its_time)
{
    unknown.record(start, 1000, 2);
    unknown.record(start + seconds(2), 9000, 12);
    report(start + seconds(2), 1400, 3, milliseconds(2000));
    DOUBLES_EQUAL(400 + 10'000 * 0.02 * 1.5, unknown.tokens_at(start + seconds(2), 10'000), 1);
    LONGS_EQUAL(1, unknown.difference());
}

// Guards against trusting an engine that has not reported for long.
TEST(unknown_load_test, the_margin_grows_with_age)
{
    report(start, 0, 0, milliseconds(0));
    DOUBLES_EQUAL(0, unknown.tokens_at(start, 10'000), 1e-6);
    CHECK(unknown.tokens_at(start + seconds(3), 10'000) > 400);
    DOUBLES_EQUAL(1000, unknown.tokens_at(start + seconds(60), 10'000), 1e-6);
}

// Guards against a report that was overtaken by a newer one.
TEST(unknown_load_test, an_older_report_changes_nothing)
{
    report(start, 100, 1, milliseconds(0));
    report(start + milliseconds(10), 5000, 9, milliseconds(500));
    DOUBLES_EQUAL(100, unknown.tokens_at(start, 10'000), 1e-6);
}
