#include <thread>

#include <CppUTest/TestHarness.h>

#include "tests/invariants/keyed_requests.h"

using namespace testing;

TEST_GROUP(idempotency){};

// Guards against a second run of a non-idempotent request that arrives several times at two gateways at once.
TEST(idempotency, simultaneous_arrivals_run_once_and_all_get_the_answer)
{
    cluster it(sized(2));
    for (int round = 0; round < 5; ++round) {
        const auto value = appointment(new_key(), 30);
        std::vector<stream::ptr> answers;
        answers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            answers.push_back(it.client().ask(it.gateway(1 + i % 2), value));
        }
        for (const auto& answer : answers) {
            CHECK(answer->wait_end());
            STRCMP_EQUAL("", check_complete_response(answer->events(), value).c_str());
        }
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}

// Guards against a second run after the gateway that dispatched the request has died and its in-memory state is lost.
TEST(idempotency, repetition_after_a_gateway_death_attaches)
{
    cluster it(sized(2));
    const auto value = appointment(new_key(), 100);
    const auto first = it.client().ask(it.gateway(1), value);
    CHECK(first->wait_events(5));
    it.kill("gateway-1");
    const auto again = it.client().ask(it.gateway(2), value);
    CHECK(again->wait_end());
    STRCMP_EQUAL("", check_complete_response(again->events(), value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against lost platform answers that leave the state of a request unknown or run it twice.
TEST(idempotency, lost_platform_answers_are_resolved_by_reading)
{
    cluster it;
    for (int lost = 1; lost <= 2; ++lost) {
        it.client().control(it.address("platform"), {{"lose_answers", lost}});
        const auto value = appointment(new_key());
        const auto answer = it.client().ask(it.gateway(), value);
        CHECK(answer->wait_end());
        const auto again = it.client().ask(it.gateway(), value);
        CHECK(again->wait_end());
        STRCMP_EQUAL("", check_complete_response(again->events(), value).c_str());
        LONGS_EQUAL(1, it.count_ran(value.input));
    }
}

// Guards against a wrong outcome of keys outside the window, and against a key that serves two different requests.
TEST(idempotency, refused_keys_get_accurate_outcomes)
{
    cluster it;
    const auto hours = [](int count) { return milliseconds(count * 3'600'000LL); };
    STRCMP_EQUAL("key_in_future/not_run", refusal_of(it, 1, appointment(new_key(hours(1)))).c_str());
    STRCMP_EQUAL("key_expired/may_have_run", refusal_of(it, 1, appointment(new_key(hours(-25)))).c_str());
    STRCMP_EQUAL("invalid_request/not_run", refusal_of(it, 1, appointment("not-a-uuid")).c_str());
    const auto value = appointment(new_key());
    CHECK(it.client().ask(it.gateway(), value)->wait_end());
    auto other = value;
    other.input = unique_input();
    STRCMP_EQUAL("key_conflict/may_have_run", refusal_of(it, 1, other).c_str());
    LONGS_EQUAL(0, it.count_ran(other.input));
}

// Guards against an outage that stops bound keys, or lets other keys run without a claim.
TEST(idempotency, an_outage_serves_bound_keys_only)
{
    cluster it;
    const auto prefix = it.bound_prefix(1);
    CHECK(!prefix.empty());
    it.client().control(it.address("platform"), {{"outage", true}});
    const auto plain = appointment(new_key());
    STRCMP_EQUAL("platform_unavailable/may_have_run", refusal_of(it, 1, plain).c_str());
    const auto bound = appointment(prefix + "." + new_key());
    for (int i = 0; i < 2; ++i) {
        const auto answer = it.client().ask(it.gateway(), bound);
        CHECK(answer->wait_end());
        STRCMP_EQUAL("", check_complete_response(answer->events(), bound).c_str());
    }
    LONGS_EQUAL(1, it.count_ran(bound.input));
    it.client().control(it.address("platform"), {{"outage", false}});
    CHECK(it.client().ask(it.gateway(), plain)->wait_end());
    LONGS_EQUAL(1, it.count_ran(plain.input));
}

// Guards against a second run of a bound key by another incarnation of its gateway.
TEST(idempotency, a_bound_key_of_an_earlier_incarnation_is_not_run)
{
    cluster it;
    const auto value = appointment(it.bound_prefix(1) + "." + new_key());
    it.kill("gateway-1");
    it.restart("gateway-1");
    CHECK(it.wait_ready());
    STRCMP_EQUAL("run_elsewhere/may_have_run", refusal_of(it, 1, value).c_str());
    LONGS_EQUAL(0, it.count_ran(value.input));
}

// Guards against a draft that runs twice because its caller resubmits it.
TEST(idempotency, a_resubmitted_draft_attaches)
{
    cluster it;
    question value;
    value.input = unique_input();
    value.output_tokens = 60;
    value.idempotency_key = "draft-2026-w49";
    const auto first = it.client().ask(it.gateway(), value);
    CHECK(first->wait_events(5));
    const auto again = it.client().ask(it.gateway(), value);
    CHECK(again->wait_end());
    CHECK(first->wait_end());
    STRCMP_EQUAL("", check_complete_response(again->events(), value).c_str());
    STRCMP_EQUAL("", check_complete_response(first->events(), value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against a key that stays used up, and against a wrong not_run, when the engine could not be reached.
TEST(idempotency, a_claim_is_withdrawn_when_no_engine_takes_the_request)
{
    cluster it;
    it.kill("engine-1");
    const auto value = appointment(new_key());
    const auto refused = refusal_of(it, 1, value);
    CHECK(refused == "no_upstream/not_run" || refused == "deadline_exceeded/not_run");
    it.restart("engine-1");
    std::vector<received_event> events;
    for (int i = 0; i < 20 && events.empty(); ++i) {
        const auto answer = it.client().ask(it.gateway(), value);
        CHECK(answer->wait_end());
        events = answer->events();
        std::this_thread::sleep_for(milliseconds(100));
    }
    STRCMP_EQUAL("", check_complete_response(events, value).c_str());
    LONGS_EQUAL(1, it.count_ran(value.input));
}

// Guards against a second run when a gateway is paused anywhere between the arrival and the dispatch of a request.
TEST(idempotency, a_paused_gateway_does_not_run_a_key_again)
{
    cluster it(sized(2));
    for (int delay = 0; delay <= 20; delay += 2) {
        const auto value = appointment(new_key());
        const auto first = it.client().ask(it.gateway(1), value);
        std::this_thread::sleep_for(milliseconds(delay));
        it.pause("gateway-1");
        const auto again = it.client().ask(it.gateway(2), value);
        CHECK(again->wait_end());
        it.resume("gateway-1");
        CHECK(first->wait_end());
        LONGS_EQUAL(1, it.count_ran(value.input));
        for (const auto& answer : {first, again}) {
            const auto outcome = answer->head().outcome();
            CHECK(outcome.empty() || outcome == "may_have_run");
        }
    }
}

// Guards against a second run of a plain service call, and against not_run for one that ran when it is repeated while
// the service has no upstream.
TEST(idempotency, a_service_call_runs_once)
{
    cluster it(sized(2));
    const auto key = new_key();
    auto headers = bearer_headers("demo-galle-key");
    headers.emplace_back("Idempotency-Key", key);
    headers.emplace_back("Content-Type", "application/json");
    const auto post = [&](int host) {
        return it.client().call(it.gateway(host), "POST", "/services/roster-app/appointments", "{\"ground\": 4}",
                                headers);
    };
    const auto first = post(1);
    LONGS_EQUAL(200, first.status);
    for (int i = 0; i < 50 && post(2).body != first.body; ++i) {
        // The answer is stored with the claim shortly after it was sent.
        std::this_thread::sleep_for(milliseconds(20));
    }
    STRCMP_EQUAL(first.body.c_str(), post(2).body.c_str());
    LONGS_EQUAL(1, it.count_ran("{\"ground\": 4}"));
    it.kill("service-1");
    for (int i = 0; i < 5; ++i) {
        CHECK(post(1).outcome() != "not_run");
    }
}
