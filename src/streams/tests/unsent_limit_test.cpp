#include "streams/unsent_limit.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(unsent_limit_test)
{
    static constexpr std::size_t mb = 1024 * 1024;
};

// Load: 2,000 callers that read slowly, on a host of 88 MB. Guards against a process that exceeds its memory with what
// it holds for them; each still gets at least one event of usual size.
TEST(unsent_limit_test, slow_callers_stay_within_a_quarter_of_the_memory)
{
    for (const std::size_t streams : {1U, 50U, 90U, 500U, 2000U, 2700U}) {
        CHECK(streams * unsent_limit(88 * mb, streams) <= 88 * mb / 4);
        CHECK(unsent_limit(88 * mb, streams) >= 8 * 1024);
    }
}

TEST(unsent_limit_test, few_streams_and_unknown_memory_get_the_full_buffer)
{
    LONGS_EQUAL(256 * 1024, unsent_limit(88 * mb, 10));
    LONGS_EQUAL(256 * 1024, unsent_limit(0, 5000));
    LONGS_EQUAL(256 * 1024, unsent_limit(512 * mb, 0));
}
