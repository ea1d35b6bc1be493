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

// The stall timeout doubles, at most this many times, with each link that delivered no event, so that a slow engine
// is not flooded with re-attachments.
constexpr int max_backoff_doublings = 6;
constexpr milliseconds default_retry_after{1000};

} // namespace

request_flow::request_flow(flow_request request, flow_limits limits, flow_hooks hooks)
    : request_(std::move(request)), limits_(limits), hooks_(std::move(hooks))
{}

flow_actions request_flow::start(instant now)
{
    started_ = now;
    attempts_ = 1;
    return {request_grant{{}, remaining(now)}, next_timer(now)};
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
    link_lost_since_ = now;
    return attach(now);
}

flow_actions request_flow::on_grant(instant now, const grant& value)
{
    if (state_ != state::waiting_grant || grant_) {
        // A grant that arrives after the request has ended is returned.
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
            // The claim may still exist, so a later request with the same key would find it.
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
    attachments_ = 0;
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
        // The engine skipped events on this link; a new link requests them by sequence number.
        return reattach(now, engine_call_result::link_lost);
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
    attachments_ = 0;
    if (event.type == event_delta) {
        ++output_tokens_;
    }
    if (can_change_engine() && event.type != event_delta && !is_final(event)) {
        // The request can still move to another engine, whose stream has the same sequence numbers but another id.
        buffered_events_.push_back(event);
        return {};
    }
    flow_actions actions;
    if (caller_connected_) {
        for (auto& it : buffered_events_) {
            actions.push_back(deliver_event{std::move(it)});
        }
        actions.push_back(deliver_event{event});
    }
    buffered_events_.clear();
    if (is_final(event)) {
        state_ = state::done;
        actions.push_back(finish_request{});
    }
    return actions;
}

flow_actions request_flow::on_engine_call_ended(instant now, const generation_id& generation, engine_call_result end)
{
    if (generation != sequencer_.bound() || (state_ != state::streaming && state_ != state::attaching)) {
        return {};
    }
    const bool dispatch_link = !resumed_ && attachments_ == 0 && sequencer_.last() < 0;
    const bool not_started = end == engine_call_result::not_sent || end == engine_call_result::connection_refused ||
                             end == engine_call_result::refused;
    if (dispatch_link && not_started) {
        return on_dispatch_rejected(now);
    }
    if (end == engine_call_result::unknown_generation) {
        return on_generation_lost(now, "the engine no longer has the generation");
    }
    if (resumed_ && end == engine_call_result::unknown_sequence_number) {
        return fail(make_error(error_kind::invalid_request, "starting_after: the response has no such event yet"));
    }
    if (resumed_ && end == engine_call_result::empty_response) {
        // The caller already has the last event of the generation.
        state_ = state::done;
        return {finish_request{}};
    }
    return reattach(now, end);
}

flow_actions request_flow::on_dispatch_rejected(instant now)
{
    static constexpr auto error_text = "the engine did not accept the request";
    if (!request_.idempotent) {
        state_ = state::withdrawing;
        withdrawn_reason_ = make_error(error_kind::no_upstream, error_text);
        withdrawn_reason_.retry_after = default_retry_after;
        return {cancel_grant{}, withdraw_claim{}};
    }
    dispatched_ = false;
    if (try_take_retry()) {
        return change_engine(now);
    }
    flow_actions actions;
    release_engine(actions);
    auto reason = make_error(may_have_run_ ? error_kind::upstream_failed : error_kind::no_upstream, error_text);
    reason.retry_after = default_retry_after;
    append(actions, fail(std::move(reason)));
    return actions;
}

flow_actions request_flow::reattach(instant now, engine_call_result end)
{
    if (end == engine_call_result::connection_refused && can_change_engine() && try_take_retry()) {
        return change_engine(now);
    }
    if (state_ == state::streaming) {
        // The first re-attachment is immediate; only later ones are delayed by attach_backoff.
        link_lost_since_ = now;
        return attach(now);
    }
    if (attach_pending_) {
        return {};
    }
    if (now - link_lost_since_ >
        (end == engine_call_result::connection_refused ? limits_.refused_loss : limits_.loss)) {
        return on_generation_lost(now, "reconnecting to the engine failed");
    }
    attach_pending_ = true;
    attach_at_ = now + limits_.attach_backoff;
    return {next_timer(now)};
}

flow_actions request_flow::attach(instant now)
{
    state_ = state::attaching;
    attach_pending_ = false;
    paused_since_.reset();
    ++attachments_;
    last_event_ = now;
    return {attach_generation{grant_->engine, grant_->address, sequencer_.bound(), sequencer_.last()}, next_timer(now)};
}

flow_actions request_flow::on_generation_lost(instant now, const std::string& error_text)
{
    if (can_change_engine() && try_take_retry()) {
        return change_engine(now);
    }
    const bool ran = resumed_ || output_tokens_ > 0 || sequencer_.last() >= 0;
    auto reason = make_error(ran ? error_kind::generation_lost : error_kind::upstream_failed, error_text);
    flow_actions actions;
    if (can_change_engine()) {
        // The request gets no other engine, so the generation that may still run is cancelled.
        release_engine(actions);
    }
    append(actions, fail(std::move(reason)));
    return actions;
}

bool request_flow::can_change_engine() const
{
    return request_.idempotent && !resumed_ && output_tokens_ == 0 && caller_connected_;
}

bool request_flow::try_take_retry()
{
    if (attempts_ >= limits_.attempts || !hooks_.allow_retry()) {
        return false;
    }
    ++attempts_;
    return true;
}

void request_flow::release_engine(flow_actions& actions)
{
    actions.emplace_back(cancel_grant{});
    if (dispatched_) {
        actions.emplace_back(cancel_generation{grant_->address, sequencer_.bound()});
        may_have_run_ = true;
    }
    dispatched_ = false;
    excluded_.push_back(grant_->engine);
    grant_.reset();
}

flow_actions request_flow::change_engine(instant now)
{
    flow_actions actions;
    release_engine(actions);
    append(actions, request_new_grant(now));
    return actions;
}

flow_actions request_flow::request_new_grant(instant now)
{
    state_ = state::waiting_grant;
    if (request_.deadline.count() > 0 && now >= started_ + request_.deadline) {
        auto reason = make_error(error_kind::deadline_exceeded, "no other engine was found before the deadline");
        reason.retry_after = default_retry_after;
        return fail(std::move(reason));
    }
    // No token was delivered to the caller, so the stream starts again with the next generation's first event.
    sequencer_ = stream_sequencer();
    buffered_events_.clear();
    attach_pending_ = false;
    attachments_ = 0;
    return {request_grant{excluded_, remaining(now)}, next_timer(now)};
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
            // The claim may already be written, so it must be withdrawn before not_run may be reported.
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
    if (state_ == state::detached) {
        return {next_timer(now)};
    }
    if (attach_pending_) {
        return now >= attach_at_ ? attach(now) : flow_actions{next_timer(now)};
    }
    if (!engine_paused) {
        paused_since_.reset();
        return on_silence(now);
    }
    last_event_ = now;
    paused_since_ = paused_since_.value_or(now);
    if (now - *paused_since_ < limits_.detach) {
        return {next_timer(now)};
    }
    state_ = state::detached;
    paused_since_.reset();
    return {detach_generation{}, next_timer(now)};
}

flow_actions request_flow::on_silence(instant now)
{
    auto last = last_event_;
    if (output_tokens_ == 0 && hooks_.pace && !resumed_) {
        // A request without a token may be queued in the engine; tokens of other streams show that the engine works.
        last = std::max(last, hooks_.pace(grant_->engine).last_token);
    }
    if (now - last < silence_timeout()) {
        return {set_timer{last + silence_timeout()}};
    }
    if (state_ == state::streaming) {
        link_lost_since_ = last_event_;
    }
    if (attachments_ > 0 && can_change_engine() && try_take_retry()) {
        return change_engine(now);
    }
    if (now - link_lost_since_ > limits_.loss) {
        return on_generation_lost(now, "the engine stopped sending");
    }
    return attach(now);
}

milliseconds request_flow::silence_timeout() const
{
    if (output_tokens_ == 0 || !hooks_.pace) {
        return limits_.stall;
    }
    const auto stall_timeout = hooks_.pace(grant_->engine).stall_timeout;
    return std::min(limits_.stall, stall_timeout * (1 << std::min(attachments_, max_backoff_doublings)));
}

milliseconds request_flow::remaining(instant now) const
{
    if (request_.deadline.count() == 0) {
        return milliseconds(0);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(started_ + request_.deadline - now);
    return std::max(left, milliseconds(1));
}

flow_actions request_flow::on_caller_drained(instant now)
{
    paused_since_.reset();
    return state_ == state::detached ? attach(now) : flow_actions{};
}

flow_actions request_flow::on_caller_gone(instant now)
{
    caller_connected_ = false;
    if (state_ == state::waiting_grant) {
        state_ = state::done;
        return {cancel_grant{}, finish_request{}};
    }
    // Attaches again so that the progress and the end of the generation are reported to the scheduler.
    return state_ == state::detached ? attach(now) : flow_actions{};
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
    // An earlier dispatched attempt may have run, regardless of the cause of this failure.
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
    if (state_ == state::detached) {
        return {now + limits_.loss};
    }
    if (attach_pending_) {
        return {attach_at_};
    }
    return {std::max(now, last_event_ + silence_timeout())};
}

} // namespace anvillead
