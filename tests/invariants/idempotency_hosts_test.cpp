#include <CppUTest/TestHarness.h>

#include "tests/invariants/keyed_requests.h"

using namespace testing;

TEST_GROUP(idempotency_hosts){};

// Guards against a bound key that runs at two gateways, or at none while its own gateway is reachable.
TEST(idempotency_hosts, a_bound_key_is_forwarded_to_its_gateway)
{
    cluster it(sized(2));
    const auto value = appointment(it.bound_prefix(1) + "." + new_key(), 60);
    if (!it.wait_joined()) {
        FAIL("the agents do not know each other");
    }
    it.client().control(it.address("platform"), {{"outage", true}});
    const auto first = it.client().ask(it.gateway(2), value);
    CHECK(first->wait_events(5));
    const auto again = it.client().ask(it.gateway(1), value);
    for (const auto& answer : {first, again}) {
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_answer(answer->events(), value).c_str());
    }
    LONGS_EQUAL(1, it.count_ran(value.input));
    it.kill("gateway-1");
    // The death is not known at once; until then the gateway is only unreachable.
    const auto refused = refusal_of(it, 2, value);
    CHECK(refused == "run_elsewhere/may_have_run" || refused == "no_upstream/may_have_run");
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against a draft that runs twice because its caller resubmits it to another gateway.
TEST(idempotency_hosts, a_draft_resubmitted_to_another_gateway_attaches)
{
    cluster it(sized(3));
    if (!it.wait_joined()) {
        FAIL("the agents do not know each other");
    }
    for (int i = 0; i < 6; ++i) {
        question value;
        value.input = unique_input();
        value.output_tokens = 60;
        value.idempotency_key = "draft-" + std::to_string(i);
        const auto first = it.client().ask(it.gateway(1 + i % 3), value);
        CHECK(first->wait_events(2));
        const auto again = it.client().ask(it.gateway(1 + (i + 1) % 3), value);
        for (const auto& answer : {first, again}) {
            CHECK(answer->wait_end());
            STRCMP_EQUAL("", check_answer(answer->events(), value).c_str());
        }
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}
