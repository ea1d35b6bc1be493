#include "claims/request_registry.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

TEST_GROUP(request_registry_test)
{
    instant now{};
};

// Guards against attaching a resubmitted draft to a generation that a retry has replaced.
TEST(request_registry_test, the_latest_response_wins)
{
    request_registry registry({10, milliseconds(1000), milliseconds(500)});
    registry.put(now, "k", "resp_1");
    registry.put(now, "k", "resp_2");
    STRCMP_EQUAL("resp_2", registry.find(now, "k")->c_str());
    LONGS_EQUAL(1, registry.size());
    CHECK(!registry.find(now, "other"));
}

// Guards against a repetition that waits for a request whose gateway has failed.
TEST(request_registry_test, a_pending_run_expires_unless_renewed)
{
    request_registry registry({10, milliseconds(100'000), milliseconds(3000)});
    registry.put(now, "k", std::string(pending_response_id));
    registry.put(now + milliseconds(2000), "k", std::string(pending_response_id));
    CHECK(registry.find(now + milliseconds(5000), "k").has_value());
    CHECK(!registry.find(now + milliseconds(5001), "k").has_value());
}

// Guards against unbounded memory use.
TEST(request_registry_test, size_and_age_are_bounded)
{
    request_registry registry({2, milliseconds(1000), milliseconds(500)});
    registry.put(now, "a", "1");
    registry.put(now + milliseconds(1), "b", "2");
    registry.put(now + milliseconds(2), "c", "3");
    CHECK(!registry.find(now + milliseconds(2), "a"));
    CHECK(registry.find(now + milliseconds(2), "c").has_value());
    CHECK(!registry.find(now + milliseconds(1003), "c"));
    LONGS_EQUAL(0, registry.size());
}
