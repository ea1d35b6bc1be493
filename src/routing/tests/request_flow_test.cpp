#include "routing/request_flow.h"

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

template <typename Action>
const Action* find(const flow_actions& actions)
{
    for (const auto& it : actions) {
        if (const auto* found = std::get_if<Action>(&it)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(request_flow_test)
{
    instant now{};
    int generations = 0;
    bool budget = true;
    engine_stall_state stall_state{milliseconds(300), {}};
    flow_hooks hooks{[this] { return budget; }, [this] { return generation_id("g" + std::to_string(++generations)); },
                     [this](const upstream_id&) { return stall_state; }};
    grant first{request_id("r"), grant_id("1"), upstream_id("e1"), "127.0.0.1:1", 0};
    grant second{request_id("r"), grant_id("2"), upstream_id("e2"), "127.0.0.1:2", 0};
    generation_id g1{"g1"};
    generation_id g2{"g2"};

    request_flow started(bool idempotent)
    {
        request_flow flow({request_id("r"), idempotent, milliseconds(1000)}, {}, hooks);
        flow.start(now);
        return flow;
    }
};

// Guards against mixing the tokens of two generations in one response.
TEST(request_flow_test, moves_to_another_engine_only_before_the_first_token)
{
    auto flow = started(true);
    CHECK(find<dispatch_generation>(flow.on_grant(now, first)) != nullptr);
    // The first generation's id must not reach the caller while the request can still move.
    CHECK(find<deliver_event>(flow.on_event(now, g1, {event_created, 0, "of g1"})) == nullptr);
    const auto actions = flow.on_engine_call_ended(now, g1, engine_call_result::unknown_generation);
    const auto* again = find<request_grant>(actions);
    CHECK(again != nullptr);
    CHECK(again->excluded == std::vector<upstream_id>{upstream_id("e1")});
    flow.on_grant(now, second);
    CHECK(find<deliver_event>(flow.on_event(now, g1, {event_created, 0, ""})) == nullptr);
    CHECK(find<deliver_event>(flow.on_event(now, g2, {event_created, 0, "of g2"})) == nullptr);
    const auto delivered = flow.on_event(now, g2, {event_delta, 1, ""});
    LONGS_EQUAL(2, delivered.size());
    STRCMP_EQUAL("of g2", std::get<deliver_event>(delivered[0]).event.data.c_str());
    LONGS_EQUAL(1, std::get<deliver_event>(delivered[1]).event.number);
    const auto lost = flow.on_engine_call_ended(now, g2, engine_call_result::unknown_generation);
    const auto* failure = find<fail_request>(lost);
    CHECK(failure != nullptr);
    CHECK(failure->reason.kind == error_kind::generation_lost);
    LONGS_EQUAL(1, failure->delivered);
}

// Guards against running a non-idempotent request twice after its link was lost.
TEST(request_flow_test, non_idempotent_request_is_dispatched_once)
{
    auto flow = started(false);
    CHECK(find<write_claim>(flow.on_grant(now, first)) != nullptr);
    CHECK(find<dispatch_generation>(flow.on_claim(now, {})) != nullptr);
    const auto actions = flow.on_engine_call_ended(now, g1, engine_call_result::link_lost);
    CHECK(find<attach_generation>(actions) != nullptr);
    const auto lost = flow.on_engine_call_ended(now, g1, engine_call_result::unknown_generation);
    CHECK(find<request_grant>(lost) == nullptr);
    CHECK(find<fail_request>(lost)->reason.outcome == run_outcome::may_have_run);
}

// Guards against reporting not_run while the claim may still exist.
TEST(request_flow_test, not_run_is_reported_after_the_withdrawal_is_confirmed)
{
    auto flow = started(false);
    flow.on_grant(now, first);
    const auto actions = flow.on_timer(now + milliseconds(1001), false);
    CHECK(find<withdraw_claim>(actions) != nullptr);
    CHECK(find<fail_request>(actions) == nullptr);
    const auto end = flow.on_claim(now, {claim_answer::verdict::withdrawn, {}});
    CHECK(find<fail_request>(end)->reason.outcome == run_outcome::not_run);
}

// Guards against a stalled link that is never replaced, so that the caller gets no more tokens.
TEST(request_flow_test, stalled_link_is_replaced_after_the_last_event)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    flow.on_event(now, g1, {event_delta, 1, ""});
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(300), true)) == nullptr);
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(599), false)) == nullptr);
    const auto actions = flow.on_timer(now + milliseconds(600), false);
    CHECK(find<attach_generation>(actions) != nullptr);
    LONGS_EQUAL(1, find<attach_generation>(actions)->starting_after);
}

TEST(request_flow_test, an_empty_retry_budget_fails_the_request_at_once)
{
    budget = false;
    auto flow = started(true);
    flow.on_grant(now, first);
    const auto actions = flow.on_engine_call_ended(now, g1, engine_call_result::not_sent);
    CHECK(find<fail_request>(actions) != nullptr);
    CHECK(find<fail_request>(actions)->reason.outcome == run_outcome::not_run);
}

// Guards against waiting for the whole loss timeout when the engine's process has exited.
TEST(request_flow_test, refused_connections_shorten_the_loss_timeout)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    flow.on_event(now, g1, {event_delta, 1, ""});
    CHECK(find<attach_generation>(flow.on_engine_call_ended(now, g1, engine_call_result::link_lost)) != nullptr);
    CHECK(find<fail_request>(flow.on_engine_call_ended(now, g1, engine_call_result::connection_refused)) == nullptr);
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(100), false)) != nullptr);
    const auto lost = flow.on_engine_call_ended(now + milliseconds(1001), g1, engine_call_result::connection_refused);
    CHECK(find<fail_request>(lost)->reason.kind == error_kind::generation_lost);
}

// Guards against moving a request that is queued in a working engine, and against staying with an engine that sends
// nothing.
TEST(request_flow_test, request_without_tokens_stays_while_the_engine_serves_other_streams)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    stall_state.last_token = now + milliseconds(2500);
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(3000), false)) == nullptr);
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(4500), false)) != nullptr);
    const auto moved = flow.on_timer(now + milliseconds(6500), false);
    CHECK(find<cancel_generation>(moved) != nullptr);
    // The request's deadline of one second has passed.
    CHECK(find<fail_request>(moved)->reason.kind == error_kind::deadline_exceeded);
    CHECK(find<fail_request>(moved)->reason.outcome == run_outcome::may_have_run);
}

// Guards against a retry that gets the full deadline again.
TEST(request_flow_test, the_remaining_deadline_is_passed_on)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    const auto again = flow.on_engine_call_ended(now + milliseconds(300), g1, engine_call_result::refused);
    CHECK(find<request_grant>(again)->remaining == milliseconds(700));
}

// Guards against unbounded buffering in the engine for a caller that does not read.
TEST(request_flow_test, a_blocked_link_is_closed_and_reopened_after_the_last_event)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    flow.on_event(now, g1, {event_delta, 1, ""});
    flow.on_timer(now + milliseconds(300), true);
    CHECK(find<detach_generation>(flow.on_timer(now + milliseconds(2300), true)) != nullptr);
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(60'000), true)) == nullptr);
    const auto actions = flow.on_caller_drained(now + milliseconds(60'001));
    LONGS_EQUAL(1, find<attach_generation>(actions)->starting_after);
    CHECK(find<deliver_event>(flow.on_event(now, g1, {event_delta, 2, ""})) != nullptr);
}

// Guards against re-attaching endlessly to an engine whose stream lacks a sequence number.
TEST(request_flow_test, repeated_gaps_are_delayed_and_end_with_generation_lost)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    flow.on_event(now, g1, {event_delta, 1, ""});
    CHECK(find<attach_generation>(flow.on_event(now, g1, {event_delta, 3, ""})) != nullptr);
    CHECK(find<attach_generation>(flow.on_event(now, g1, {event_delta, 3, ""})) == nullptr);
    flow.on_timer(now + milliseconds(8000), false);
    const auto end = flow.on_event(now + milliseconds(8001), g1, {event_delta, 3, ""});
    CHECK(find<fail_request>(end)->reason.kind == error_kind::generation_lost);
}

// Guards against an error for a caller that resumes after the last event.
TEST(request_flow_test, resuming_after_the_last_event_finishes_the_request)
{
    request_flow flow({request_id("r"), true, milliseconds(0)}, {}, hooks);
    flow.resume(now, upstream_id("e1"), "127.0.0.1:1", g1, 9);
    CHECK(find<finish_request>(flow.on_engine_call_ended(now, g1, engine_call_result::empty_response)) != nullptr);
    request_flow past_end({request_id("r"), true, milliseconds(0)}, {}, hooks);
    past_end.resume(now, upstream_id("e1"), "127.0.0.1:1", g1, 999);
    const auto end = past_end.on_engine_call_ended(now, g1, engine_call_result::unknown_sequence_number);
    CHECK(find<fail_request>(end)->reason.kind == error_kind::invalid_request);
}
