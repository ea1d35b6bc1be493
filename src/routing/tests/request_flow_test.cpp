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
    flow_hooks hooks{[this] { return budget; }, [this] { return generation_id("g" + std::to_string(++generations)); }};
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

// Guards against tokens of two generations in one answer.
TEST(request_flow_test, moves_to_another_engine_only_before_the_first_token)
{
    auto flow = started(true);
    CHECK(find<dispatch_generation>(flow.on_grant(now, first)) != nullptr);
    flow.on_event(now, g1, {event_created, 0, ""});
    const auto actions = flow.on_engine_end(now, g1, engine_end::unknown_generation);
    const auto* again = find<ask_grant>(actions);
    CHECK(again != nullptr);
    CHECK(again->excluded == std::vector<upstream_id>{upstream_id("e1")});
    flow.on_grant(now, second);
    CHECK(find<deliver_event>(flow.on_event(now, g1, {event_created, 0, ""})) == nullptr);
    CHECK(find<deliver_event>(flow.on_event(now, g2, {event_created, 0, ""})) != nullptr);
    flow.on_event(now, g2, {event_delta, 1, ""});
    const auto lost = flow.on_engine_end(now, g2, engine_end::unknown_generation);
    const auto* failure = find<fail_request>(lost);
    CHECK(failure != nullptr);
    CHECK(failure->reason.kind == error_kind::generation_lost);
    LONGS_EQUAL(1, failure->delivered);
}

// Guards against a second run of a non-idempotent request after its link was cut.
TEST(request_flow_test, non_idempotent_request_is_dispatched_once)
{
    auto flow = started(false);
    CHECK(find<write_claim>(flow.on_grant(now, first)) != nullptr);
    CHECK(find<dispatch_generation>(flow.on_claim(now, {})) != nullptr);
    flow.on_engine_end(now, g1, engine_end::link_lost);
    const auto actions = flow.on_timer(now + milliseconds(200), false);
    CHECK(find<attach_generation>(actions) != nullptr);
    const auto lost = flow.on_engine_end(now, g1, engine_end::unknown_generation);
    CHECK(find<ask_grant>(lost) == nullptr);
    CHECK(find<fail_request>(lost)->reason.outcome == run_outcome::may_have_run);
}

// Guards against not_run being said while the claim may still stand.
TEST(request_flow_test, not_run_waits_for_the_confirmed_withdrawal)
{
    auto flow = started(false);
    flow.on_grant(now, first);
    const auto actions = flow.on_timer(now + milliseconds(1001), false);
    CHECK(find<withdraw_claim>(actions) != nullptr);
    CHECK(find<fail_request>(actions) == nullptr);
    const auto end = flow.on_claim(now, {claim_answer::verdict::withdrawn, {}});
    CHECK(find<fail_request>(end)->reason.outcome == run_outcome::not_run);
}

// Guards against a stalled link that leaves the caller without tokens for ever.
TEST(request_flow_test, stalled_link_is_attached_again_at_the_next_number)
{
    auto flow = started(true);
    flow.on_grant(now, first);
    flow.on_event(now, g1, {event_created, 0, ""});
    flow.on_event(now, g1, {event_delta, 1, ""});
    CHECK(find<attach_generation>(flow.on_timer(now + milliseconds(2000), true)) == nullptr);
    const auto actions = flow.on_timer(now + milliseconds(4001), false);
    CHECK(find<attach_generation>(actions) != nullptr);
    LONGS_EQUAL(1, find<attach_generation>(actions)->starting_after);
}

TEST(request_flow_test, an_empty_retry_budget_ends_the_request_at_once)
{
    budget = false;
    auto flow = started(true);
    flow.on_grant(now, first);
    const auto actions = flow.on_engine_end(now, g1, engine_end::not_sent);
    CHECK(find<fail_request>(actions) != nullptr);
    CHECK(find<fail_request>(actions)->reason.outcome == run_outcome::not_run);
}
