#include "admission/urgent_reserve.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(urgent_reserve_test){};

// Guards against a fixed reserve, which must follow the load both up and down.
TEST(urgent_reserve_test, slots_follow_the_recent_high_quantile)
{
    urgent_reserve reserve;
    instant now = instant(seconds(100));
    const auto run = [&](int ticks, int concurrent) {
        for (int i = 0; i < ticks; ++i) {
            now += milliseconds(100);
            reserve.observe(now, i % 20 == 0 ? 2 * concurrent : concurrent);
        }
    };
    run(100, 10);
    LONGS_EQUAL(20, reserve.slots());
    run(6000, 1);
    LONGS_EQUAL(2, reserve.slots());
}
