#include "routing/request_flow.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

void append(flow_actions& actions, flow_actions more)
{
    for (auto& it : more) {
        actions.push_back(std::move(it));
    }
}

} // namespace

request_flow::request_flow(flow_request request, flow_limits limits, flow_hooks hooks)
    : request_(std::move(request)), limits_(limits), hooks_(std::move(hooks))
{}

flow_actions request_flow::start(instant now)
{
    started_ = now;
    attempts_ = 1;
    return {ask_grant{}, next_timer(now)};
}

flow_actions request_flow::resume(instant now, upstream_id engine, std::string address, generation_id generation,
                                  sequence_number starting_after)
{
    started_ = now;
    resumed_ = true;
    dispatched_ = true;
    grant_ = grant{request_.id, grant_id(), std::move(engine), std::move(address), 0};
    sequencer_ = stream_sequencer(starting_after);
    sequencer_.bind(std::move(generation));
    lost_since_ = now;
    return attach(now);
}

flow_actions request_flow::on_grant(instant now, const grant& value)
{
    if (state_ != state::waiting_grant || grant_) {
        // A grant for a request that was cancelled or moved meanwhile is given back.
        return done() ? flow_actions{cancel_grant{}} : flow_actions{};
    }
    grant_ = value;
    sequencer_.bind(hooks_.new_generation());
    if (request_.idempotent) {
        return dispatch(now);
    }
    state_ = state::claiming;
    return {write_claim{value.engine, sequencer_.bound()}, next_timer(now)};
}

flow_actions request_flow::on_refusal(instant, const refusal& value)
{
    if (state_ != state::waiting_grant) {
        return {};
    }
    auto reason = make_error(value.kind, "the request was refused before it started");
    reason.retry_after = value.retry_after;
    return fail(std::move(reason));
}

flow_actions request_flow::on_claim(instant now, const claim_answer& answer)
{
    if (state_ == state::withdrawing) {
        auto reason = withdrawn_reason_;
        if (answer.value != claim_answer::verdict::withdrawn) {
            // The claim still stands, so a later attempt with the same key would find it.
            reason.outcome = run_outcome::may_have_run;
        }
        return fail(std::move(reason));
    }
    if (state_ != state::claiming) {
        return {};
    }
    if (answer.value == claim_answer::verdict::claimed) {
        return dispatch(now);
    }
    flow_actions actions = {cancel_grant{}};
    append(actions, fail(answer.reason));
    return actions;
}

flow_actions request_flow::dispatch(instant now)
{
    state_ = state::streaming;
    dispatched_ = true;
    link_is_replacement_ = false;
    last_event_ = now;
    return {dispatch_generation{grant_->engine, grant_->address, sequencer_.bound(), grant_->priority},
            next_timer(now)};
}

flow_actions request_flow::on_event(instant now, const generation_id& generation, const stream_event& event)
{
    if (state_ != state::streaming && state_ != state::attaching) {
        return {};
    }
    switch (sequencer_.check(generation, event)) {
    case stream_sequencer::verdict::drop:
        return {};
    case stream_sequencer::verdict::gap:
        // The engine skipped events on this link; a new link asks for them by number.
        lost_since_ = now;
        return attach(now);
    case stream_sequencer::verdict::deliver:
        break;
    }
    return deliver(now, event);
}

flow_actions request_flow::deliver(instant now, const stream_event& event)
{
    state_ = state::streaming;
    last_event_ = now;
    attach_pending_ = false;
    if (event.type == event_delta) {
        ++output_tokens_;
    }
    flow_actions actions;
    if (caller_present_) {
        actions.push_back(deliver_event{event});
    }
    if (is_final(event)) {
        state_ = state::done;
        actions.push_back(finish_request{});
    }
    return actions;
}

flow_actions request_flow::on_engine_end(instant now, const generation_id& generation, engine_end end)
{
    if (generation != sequencer_.bound() || (state_ != state::streaming && state_ != state::attaching)) {
        return {};
    }
    const bool nothing_started = !link_is_replacement_ && (end == engine_end::not_sent || end == engine_end::refused);
    if (nothing_started) {
        if (!request_.idempotent) {
            state_ = state::withdrawing;
            withdrawn_reason_ = make_error(error_kind::no_upstream, "the engine did not take the request");
            withdrawn_reason_.retry_after = milliseconds(1000);
            return {cancel_grant{}, withdraw_claim{}};
        }
        dispatched_ = false;
        return retry_elsewhere(now, "the engine did not take the request");
    }
    if (end == engine_end::unknown_generation) {
        return lose("the engine no longer has the generation");
    }
    if (state_ == state::streaming) {
        lost_since_ = now;
    }
    if (now - lost_since_ > limits_.loss) {
        return lose("the engine could not be reached again");
    }
    state_ = state::attaching;
    attach_pending_ = true;
    attach_at_ = now + limits_.attach_backoff;
    return {next_timer(now)};
}

flow_actions request_flow::attach(instant now)
{
    state_ = state::attaching;
    attach_pending_ = false;
    link_is_replacement_ = true;
    last_event_ = now;
    return {attach_generation{grant_->engine, grant_->address, sequencer_.bound(), sequencer_.last()}, next_timer(now)};
}

flow_actions request_flow::lose(const std::string& why)
{
    if (request_.idempotent && !resumed_ && output_tokens_ == 0 && caller_present_) {
        return retry_elsewhere(started_, why);
    }
    const bool ran = output_tokens_ > 0 || sequencer_.last() >= 0;
    auto reason = make_error(ran ? error_kind::generation_lost : error_kind::upstream_failed, why);
    return fail(std::move(reason));
}

flow_actions request_flow::retry_elsewhere(instant now, const std::string& why)
{
    flow_actions actions = {cancel_grant{}};
    if (dispatched_) {
        actions.push_back(cancel_generation{grant_->address, sequencer_.bound()});
        may_have_run_ = true;
    }
    dispatched_ = false;
    excluded_.push_back(grant_->engine);
    grant_.reset();
    if (attempts_ >= limits_.attempts || !hooks_.allow_retry()) {
        auto reason = make_error(may_have_run_ ? error_kind::upstream_failed : error_kind::no_upstream, why);
        reason.retry_after = milliseconds(1000);
        append(actions, fail(std::move(reason)));
        return actions;
    }
    ++attempts_;
    // Nothing was delivered to the caller, so the stream starts again with the next generation's first event.
    sequencer_ = stream_sequencer();
    state_ = state::waiting_grant;
    link_is_replacement_ = false;
    actions.push_back(ask_grant{excluded_});
    actions.push_back(next_timer(now));
    return actions;
}

flow_actions request_flow::on_timer(instant now, bool engine_paused)
{
    if (done() || state_ == state::withdrawing) {
        return {};
    }
    const bool undispatched = state_ == state::waiting_grant || state_ == state::claiming;
    if (undispatched && request_.deadline.count() > 0 && now >= started_ + request_.deadline) {
        auto reason = make_error(error_kind::deadline_exceeded, "no engine was free before the deadline");
        reason.retry_after = milliseconds(1000);
        if (state_ == state::claiming) {
            // The write may already have taken effect, so it has to be undone before not_run may be said.
            state_ = state::withdrawing;
            withdrawn_reason_ = std::move(reason);
            return {cancel_grant{}, withdraw_claim{}};
        }
        flow_actions actions = {cancel_grant{}};
        append(actions, fail(std::move(reason)));
        return actions;
    }
    if (undispatched) {
        return {next_timer(now)};
    }
    if (attach_pending_) {
        return now >= attach_at_ ? attach(now) : flow_actions{next_timer(now)};
    }
    if (engine_paused) {
        last_event_ = now;
    }
    if (now - last_event_ < limits_.stall) {
        return {next_timer(now)};
    }
    if (state_ == state::streaming) {
        lost_since_ = last_event_;
    }
    if (now - lost_since_ > limits_.loss) {
        return lose("the engine stopped sending");
    }
    return attach(now);
}

flow_actions request_flow::on_caller_gone(instant)
{
    caller_present_ = false;
    if (state_ == state::waiting_grant) {
        state_ = state::done;
        return {cancel_grant{}, finish_request{}};
    }
    return {};
}

flow_actions request_flow::on_cancel(instant)
{
    if (done()) {
        return {};
    }
    flow_actions actions;
    if (state_ == state::waiting_grant) {
        actions.push_back(cancel_grant{});
    } else if (grant_ && dispatched_) {
        actions.push_back(cancel_generation{grant_->address, sequencer_.bound()});
    }
    return actions;
}

flow_actions request_flow::fail(error reason)
{
    state_ = state::done;
    // An earlier attempt that was dispatched may have run, whatever ended this one.
    if (reason.outcome == run_outcome::not_run && may_have_run_) {
        reason.outcome = run_outcome::may_have_run;
    }
    return {fail_request{std::move(reason), output_tokens_}};
}

set_timer request_flow::next_timer(instant now) const
{
    if (state_ == state::waiting_grant || state_ == state::claiming) {
        return {request_.deadline.count() > 0 ? started_ + request_.deadline : now + limits_.loss};
    }
    if (attach_pending_) {
        return {attach_at_};
    }
    return {std::max(now, last_event_ + limits_.stall)};
}

} // namespace anvillead
