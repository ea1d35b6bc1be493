#include "node/generation_relay.h"

#include <algorithm>

#include "core/log.h"
#include "dispatch/length_forecast.h"
#include "node/error_response.h"
#include "node/quarantine_service.h"
#include "node/rate_service.h"
#include "platform/call_headers.h"

namespace anvillead {

namespace {

// A live engine accepts a connection within a few milliseconds. Nothing of the request has been sent before that.
constexpr milliseconds connect_timeout{300};
// A connection on which the engine acknowledges nothing for this long counts as lost. Connections recover from shorter
// network interruptions, and callers wait about four times the latency target of a generation for its next event.
constexpr milliseconds dead_engine_timeout{7000};
// A request without a free engine waits for at most the latency target divided by this. A longer wait would use up the
// time in which the caller can still be served in time elsewhere.
constexpr int capacity_wait_divisor = 8;
// Engines to which one request is sent.
constexpr int max_offers = 4;
// Copy attempts of one move, where it goes on until the engine has gone; one takes 40 ms and more.
constexpr int max_copies_while_time_is_left = 100;
// Part of a gap by which it has to change to be reported again.
constexpr int gap_difference_divisor = 10;
// An engine that a request crashes ends within this time after it has begun to run the request.
constexpr milliseconds crash_delay_of_request{1000};
constexpr std::size_t max_error_body_bytes = 1024 * 1024;

constexpr int http_ok = 200;
constexpr int http_multiple_choices = 300;

} // namespace

generation_relay::generation_relay(node_context& context, admitted_request request)
    : context_(context), request_(std::move(request)), work_(context), slot_(context), target_work_(context),
      error_buffer_(context.answer_buffers),
      splitter_([this](std::string_view bytes, std::optional<sequence_number> number) { on_event(bytes, number); }),
      planned_output_(planned_output(request_.caller)), stream_slot_(context.count_stream())
{
    if (context_.settings.orders_by_cost) {
        // Requests for room wait in the scheduler's queue, so further ones cost little.
        move_ = generation_move({move_limits().max_jitter, move_limits().max_link_wait, move_limits().retry_pause,
                                 max_copies_while_time_is_left});
    }
}

void generation_relay::start()
{
    request_.exchange->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->done_) {
            auto fields = self->log_context();
            fields.emplace_back("outcome", "caller_left");
            log(log_level::info, log_event::request_ended, fields);
            self->finish();
        }
    });
    request_.exchange->on_drained([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->call_) {
            self->call_->resume();
        }
    });
    if (request_.deadline != instant::max()) {
        deadline_timer_ = context_.timers.after(std::max(remaining_time(), milliseconds(0)), [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->done_) {
                auto reason =
                    make_error(error_kind::deadline_exceeded, "the answer was not complete before the deadline");
                const bool forwarded = self->forwarder_ && self->forwarder_->may_have_run();
                reason.outcome =
                    self->phase_ == phase::placing && !forwarded ? run_outcome::not_run : run_outcome::may_have_run;
                self->fail(reason);
            }
        });
    }
    capacity_deadline_ = request_.arrived + request_.matched_route->latency_target / capacity_wait_divisor;
    if (context_.paths.lost(request_.service) && can_forward()) {
        forward(make_error(error_kind::no_upstream, "this host reaches no engine"));
    } else {
        admit();
    }
}

milliseconds generation_relay::remaining_time() const
{
    return std::chrono::duration_cast<milliseconds>(request_.deadline - context_.timers.now());
}

log_fields generation_relay::log_context() const
{
    return {{"request", request_.caller.id.str()},
            {"upstream", engine_.id.str()},
            {"events", std::to_string(events_)},
            {"moves", std::to_string(moves_)}};
}

milliseconds generation_relay::send_timeout() const
{
    return request_.deadline == instant::max() ? milliseconds(0) : std::max(remaining_time(), milliseconds(1));
}

void generation_relay::send(const upstream_record& upstream, std::optional<resume_point> resume)
{
    upstream_call call;
    call.expected = upstream.id;
    call.organisation = request_.organisation;
    if (has_engines()) {
        call.priority = request_.priority;
    }
    call.resume = resume;
    if (request_.deadline != instant::max()) {
        call.deadline = std::max(remaining_time(), milliseconds(1));
    }
    http_call_request out;
    out.address = upstream.address;
    out.method = request_.message.method;
    out.target = request_.message.target;
    out.shared_body = request_.body;
    out.headers = platform::upstream_headers(request_.message.headers, call);
    out.connect_timeout = connect_timeout;
    out.head_timeout = send_timeout();
    out.dead_peer_timeout = dead_engine_timeout;

    resumed_ = resume.has_value();
    may_be_stopped_ = false;
    continues_ = resumed_;
    const auto memory = request_.caller.prompt_tokens + std::max(planned_output_, generated_tokens());
    least_gap_ = {};
    reported_gap_ = {};
    work_.assign(upstream.id, {1, resumed_ ? 0 : request_.caller.prompt_tokens, memory, 0});
    target_work_.release();
    engine_ = upstream;
    head_ = {};
    error_body_.clear();
    error_buffer_.release();
    splitter_.drop_partial_event();
    phase_ = phase::sent;
    ++offers_;

    sent_at_ = context_.timers.now();
    process_start_ms_ = 0;
    ++call_epoch_;
    http_call_handlers handlers;
    const auto guarded = [this](auto action) {
        return [self = shared_from_this(), n = call_epoch_, action](auto&&... arguments) {
            if (!self->done_ && n == self->call_epoch_) {
                action(*self, arguments...);
            }
        };
    };
    handlers.on_head =
        guarded([](generation_relay& self, int status, const http_headers& headers) { self.on_head(status, headers); });
    handlers.on_data = guarded([](generation_relay& self, std::string_view data) { self.on_data(data); });
    handlers.on_end = guarded([](generation_relay& self, const http_call_result& end) { self.on_end(end); });
    call_ = context_.client.start(std::move(out), std::move(handlers), request_.exchange->sequence());
    // The engine may have started to leave since it was chosen.
    const auto* entry = context_.directory.find(engine_.id);
    if (entry != nullptr && !entry->usable) {
        on_upstream_leaving(engine_.id);
    }
}

void generation_relay::on_head(int status, const http_headers& headers)
{
    head_ = platform::read_upstream_response_head(status, headers, request_.caller.id);
    response_headers_ = headers;
    context_.record_path(sent_at_, engine_, true);
    context_.rates->on_answer(engine_.id, head_);
    if (head_.refused) {
        slot_.release(true);
        // Counts as a failure: an engine that refuses requests looks idle and would attract all further ones.
        // After a rest that it has asked for, it is used again at once.
        context_.loads.record_outcome(context_.timers.now(), engine_.id, !head_.rest);
        retry_or_fail(make_error(error_kind::overloaded, "the engine refused the request"), true);
        return;
    }
    const bool good = status >= http_ok && status < http_multiple_choices;
    if (!good) {
        return;
    }
    if (!head_.stamped || head_.foreign || head_.encoded) {
        context_.loads.record_outcome(context_.timers.now(), engine_.id, true);
        fail(make_error(error_kind::upstream_failed,
                        "the engine's response is unstamped, encoded, or belongs to another request"));
        return;
    }
    phase_ = phase::streaming;
    if (!std::exchange(response_started_, true)) {
        request_.exchange->begin_stream(status, platform::caller_headers(headers));
    }
    if (!call_->framed()) {
        identify_process();
    }
}

void generation_relay::identify_process()
{
    context_.crashes->identify(engine_, sent_at_, [self = shared_from_this(), n = call_epoch_](std::int64_t start) {
        if (!self->done_ && n == self->call_epoch_ && self->call_->peer_connected()) {
            self->process_start_ms_ = start;
        }
    });
}

void generation_relay::on_data(std::string_view data)
{
    if (phase_ == phase::sent) {
        if (error_body_.size() + data.size() > max_error_body_bytes ||
            !error_buffer_.grow_to(error_body_.size() + data.size())) {
            error_body_.clear();
            fail(make_error(error_kind::upstream_failed, "the engine's response is too large"));
            return;
        }
        error_body_ += data;
        return;
    }
    if (!splitter_.feed(data)) {
        fail(make_error(error_kind::upstream_failed, "an event in the engine's stream is too large"));
        return;
    }
    if (!done_ && request_.exchange->unsent_bytes() > context_.unsent_bytes_limit()) {
        call_->pause();
    }
}

void generation_relay::on_event(std::string_view bytes, std::optional<sequence_number> number)
{
    if (done_) {
        return;
    }
    if (number && events_ > 0) {
        if (*number <= last_event_) {
            return;
        }
        // On one connection nothing is lost, so a gap there is the engine's way of counting.
        const auto step = *number - last_event_;
        if (!std::exchange(continues_, false)) {
            id_step_ = std::max(id_step_, step);
        } else if (id_step_ > 0 && step > id_step_) {
            fail(make_error(error_kind::generation_lost, "events are missing where the generation was resumed"));
            return;
        }
    }
    const auto now = context_.timers.now();
    if (events_ == 1) {
        // The engine went on after the first event.
        report_sound_prompt();
    }
    if (events_ > 0 && now - last_event_at_ > longest_pause_) {
        longest_pause_ = now - last_event_at_;
        longest_pause_after_ = last_event_;
    }
    if (events_ > 0 && has_engines() && context_.loads.states_pace()) {
        observe_gap(now, now - last_event_at_);
    }
    if (events_ > 0 && now - first_event_at_ >= crash_delay_of_request) {
        report_sound_request();
    }
    last_event_at_ = now;
    last_event_ = number.value_or(last_event_);
    if (++events_ == 1) {
        work_.mark_prompt_read();
        first_event_at_ = now;
        first_event_ms_ = std::chrono::duration<double, std::milli>(now - request_.arrived).count();
        context_.counters.observe_ms("first_event", first_event_ms_);
    }
    request_.exchange->write(bytes);
}

void generation_relay::observe_gap(instant now, least_gap::duration gap)
{
    least_gap_.add(now, gap);
    if (!least_gap_.known()) {
        return;
    }
    const auto least = least_gap_.value();
    const auto difference = least > reported_gap_ ? least - reported_gap_ : reported_gap_ - least;
    if (difference * gap_difference_divisor > reported_gap_) {
        reported_gap_ = least;
        constexpr double tenths = 10;
        const std::chrono::duration<double, std::milli> value = least;
        work_.set_gap(static_cast<std::int64_t>(value.count() * tenths));
    }
}

void generation_relay::on_end(const http_call_result& end)
{
    const auto now = context_.timers.now();
    slot_.release(false);
    if (phase_ == phase::streaming || phase_ == phase::switching_over) {
        stream_ended(end);
        return;
    }
    if (end.end == http_call_outcome::connect_failed) {
        ++unreachable_;
        context_.record_path(sent_at_, engine_, false);
        context_.loads.record_outcome(now, engine_.id, true);
        retry_or_fail(make_error(error_kind::no_upstream, "the engine cannot be reached: " + end.detail), false);
        return;
    }
    if (end.end == http_call_outcome::complete) {
        forward_error_response();
        return;
    }
    context_.loads.record_outcome(now, engine_.id, true);
    if (end.end == http_call_outcome::lost) {
        context_.record_path(sent_at_, engine_, false);
        check_for_crash(false);
    }
    if (resumed_) {
        resume_refused();
        return;
    }
    fail(make_error(error_kind::upstream_failed, "the engine failed before it responded: " + end.detail));
}

void generation_relay::check_for_crash(bool responded)
{
    crash_suspect suspect{responded, request_.traits};
    if (events_ > 0) {
        if (context_.timers.now() - first_event_at_ >= crash_delay_of_request) {
            return;
        }
        // Its prompt has been read, so no part of that is suspected.
        suspect.traits = {request_.traits.front()};
    }
    context_.crashes->check(process(), request_.caller.id, std::move(suspect),
                            [self = shared_from_this(), started = std::exchange(trial_, std::nullopt)](bool crashed) {
                                if (started && !crashed) {
                                    self->context_.quarantine->end_trial(*started);
                                }
                            });
}

void generation_relay::forward_error_response()
{
    context_.loads.record_outcome(context_.timers.now(), engine_.id, true);
    if (resumed_) {
        resume_refused();
        return;
    }
    if (!head_.stamped || head_.foreign || head_.encoded) {
        fail(make_error(error_kind::upstream_failed,
                        "the engine's response is unstamped, encoded, or belongs to another request"));
        return;
    }
    auto fields = log_context();
    fields.emplace_back("outcome", "engine_error");
    fields.emplace_back("status", std::to_string(head_.status));
    log(log_level::warning, log_event::request_failed, fields);
    auto exchange = request_.exchange;
    const auto headers = platform::caller_headers(response_headers_);
    const auto body = std::move(error_body_);
    finish();
    exchange->reply(head_.status, headers, body);
}

void generation_relay::stream_ended(const http_call_result& end)
{
    // Without framing, the end of the connection looks the same for an answer and for an engine that crashed.
    // The same holds for an engine that has stopped the generation for a final copy.
    const bool end_tells = end.framed || (events_ > 0 && !may_be_stopped_);
    const bool complete = end.end == http_call_outcome::complete && !splitter_.has_partial_event() && end_tells;
    if (phase_ == phase::switching_over) {
        // Without framing, a stopped stream ends like a complete one; the answer to the copy call tells them apart.
        if (complete && end.framed) {
            finish_stream();
            return;
        }
        source_closed_ = true;
        source_complete_ = complete;
        if (final_copy_done_) {
            switch_over();
        }
        return;
    }
    if (!complete) {
        stream_lost(end.detail);
    } else if (end.framed) {
        finish_stream();
    } else {
        confirm_end();
    }
}

void generation_relay::confirm_end()
{
    phase_ = phase::confirming;
    context_.crashes->confirm_end(process(), [self = shared_from_this(), n = call_epoch_](bool crashed) {
        if (self->done_ || n != self->call_epoch_) {
            return;
        }
        self->phase_ = phase::streaming;
        if (crashed) {
            self->stream_lost("the engine has crashed");
        } else {
            self->finish_stream();
        }
    });
}

void generation_relay::stream_lost(const std::string& reason)
{
    if (!may_be_stopped_) {
        context_.loads.record_outcome(context_.timers.now(), engine_.id, true);
        check_for_crash(true);
    }
    leave_source(reason);
}

void generation_relay::retry_or_fail(const error& reason, bool reached_engine)
{
    ++call_epoch_;
    call_->cancel();
    work_.release();
    if (resumed_) {
        resume_refused();
        return;
    }
    excluded_.push_back(engine_.id);
    if (!reached_engine) {
        // Nothing was sent, so this does not count as an offer. During an outage of the platform the directory may list
        // several engines that are gone.
        --offers_;
    }
    if (!reached_engine && context_.paths.lost(request_.service) && can_forward()) {
        forward(reason);
        return;
    }
    // Without any path and without help, a further engine would only cost the caller another time-out.
    const bool hopeless = !reached_engine && context_.paths.lost(request_.service);
    if (offers_ < max_offers && !hopeless && (!reached_engine || context_.retry_budget_for(request_.service).take())) {
        auto fields = log_context();
        fields.emplace_back("reason", reason.message);
        log(log_level::info, log_event::request_retried, fields);
        place();
        return;
    }
    auto answer = reason;
    answer.retry_after = retry_after_no_capacity;
    fail(answer);
}

void generation_relay::finish_stream()
{
    if (events_ == 1) {
        report_sound_prompt();
    }
    report_sound_request();
    context_.loads.record_outcome(context_.timers.now(), engine_.id, false);
    context_.retry_budget_for(request_.service).refill();
    auto fields = log_context();
    const double pause = std::chrono::duration<double, std::milli>(longest_pause_).count();
    fields.emplace_back("outcome", "answered");
    fields.emplace_back("first_event_ms", std::to_string(static_cast<int>(first_event_ms_)));
    fields.emplace_back("longest_pause_ms", std::to_string(static_cast<int>(pause)));
    fields.emplace_back("pause_after_event", std::to_string(longest_pause_after_));
    context_.counters.observe_ms("longest_pause", pause);
    log(log_level::info, log_event::request_ended, fields);
    context_.counters.add("requests_total{kind=\"generation\",outcome=\"answered\"}");
    auto exchange = request_.exchange;
    finish();
    exchange->end_stream();
}

void generation_relay::fail(const error& reason)
{
    if (done_) {
        return;
    }
    context_.retry_budget_for(request_.service).refill();
    context_.counters.add("requests_total{kind=\"generation\",outcome=\"" + std::string(to_string(reason.kind)) +
                          "\"}");
    auto exchange = request_.exchange;
    if (!response_started_) {
        finish();
        send_error_response(*exchange, request_.caller.id, reason);
        return;
    }
    auto fields = log_context();
    fields.emplace_back("kind", to_string(reason.kind));
    fields.emplace_back("reason", reason.message);
    log(log_level::warning, log_event::request_failed, fields);
    finish();
    exchange->abort();
}

void generation_relay::abort(const std::string& reason)
{
    if (done_) {
        return;
    }
    const bool not_run = phase_ == phase::placing && offers_ == 0 && !response_started_ && !forwarder_;
    fail(make_error(not_run ? error_kind::leaving : error_kind::generation_lost, reason));
}

void generation_relay::finish()
{
    if (std::exchange(done_, true)) {
        return;
    }
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(step_timer_);
    end_trial();
    slot_.release(false);
    if (call_) {
        call_->cancel();
    }
    if (const auto forwarder = std::exchange(forwarder_, nullptr)) {
        forwarder->cancel();
    }
    if (!copy_handle_.empty()) {
        release_copy();
    }
    work_.release();
    target_work_.release();
}

} // namespace anvillead
