#include "admission/memory_forecast.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(memory_forecast_test)
{
    length_curve endless{std::vector<double>(length_curve::bins, 0.0)};
    length_curve usual{std::vector<double>(length_curve::bins, 0.2)};
    memory_forecast forecast;
};

// Guards against memory that overflows during decoding although the generations fitted at admission.
TEST(memory_forecast_test, growth_counts_up_to_the_limit)
{
    forecast.add({100, 0, 1000}, endless);
    DOUBLES_EQUAL(100, forecast.current(), 1e-6);
    DOUBLES_EQUAL(1100, forecast.peak(0), 512);
    CHECK(forecast.peak(0) >= 612);
}

// Guards against a margin that is larger than the maximum possible growth.
TEST(memory_forecast_test, peak_is_bounded_by_the_use_if_nothing_ends)
{
    for (int i = 0; i < 10; ++i) {
        forecast.add({500, 100, 20'000}, usual);
    }
    CHECK(forecast.peak(100) <= 10 * (600 + 4096) + 1);
    CHECK(forecast.peak(2) >= forecast.peak(1));
    CHECK(forecast.peak(0) >= forecast.current());
}

// Guards against an overflow probability that is too low for a grant above the forecast limit.
TEST(memory_forecast_test, overflow_is_zero_if_everything_fits_and_one_if_nothing_can_end)
{
    forecast.add({100, 0, 1000}, endless);
    DOUBLES_EQUAL(0, forecast.overflow(1100), 1e-9);
    DOUBLES_EQUAL(1, forecast.overflow(500), 1e-9);
    memory_forecast uncertain;
    for (int i = 0; i < 10; ++i) {
        uncertain.add({100, 0, 1000}, usual);
    }
    const double near = uncertain.overflow(uncertain.current() + 1);
    const double far = uncertain.overflow(uncertain.current() * 2);
    CHECK(near < 1);
    CHECK(far < near);
    CHECK(far > 0);
}
