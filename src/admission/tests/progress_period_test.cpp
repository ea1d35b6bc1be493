#include "admission/progress_period.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(progress_period_test){};

// Guards against control traffic that grows with the number of streams, and against too infrequent reports.
TEST(progress_period_test, the_period_grows_with_the_grants_between_its_bounds)
{
    const progress_rate rate{milliseconds(100), milliseconds(500), 400};
    LONGS_EQUAL(100, progress_period(0, rate).count());
    LONGS_EQUAL(100, progress_period(40, rate).count());
    LONGS_EQUAL(400, progress_period(160, rate).count());
    LONGS_EQUAL(500, progress_period(10'000, rate).count());
}

// Guards against undefined behaviour when an operator sets only the shortest period, above the longest.
TEST(progress_period_test, the_shortest_period_wins_over_the_longest)
{
    const progress_rate rate{milliseconds(1000), milliseconds(500), 400};
    LONGS_EQUAL(1000, progress_period(10'000, rate).count());
}
