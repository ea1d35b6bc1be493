#include "node/plain_call.h"

#include <algorithm>

#include "core/crypto.h"
#include "core/log.h"
#include "node/error_response.h"
#include "node/quarantine_service.h"
#include "node/rate_service.h"
#include "platform/call_headers.h"

namespace anvillead {

namespace {

// A live upstream accepts a connection within a few milliseconds. Nothing of the request has been sent before that.
constexpr milliseconds connect_timeout{250};
// Share of the remaining time that one attempt may take while a further one is allowed.
constexpr double attempt_time_share = 0.5;
// Upstreams to which one request is sent.
constexpr int max_offers = 3;
// Responses of plain services are buffered completely, so that an incomplete one can be replaced by a retry.
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;
// Retry-After of a refused request: about the time until capacity becomes free.
constexpr milliseconds retry_after{100};
// With less time remaining, an upstream could not answer.
constexpr milliseconds min_attempt_time{5};

// A request waits at most this long for the end of the same request elsewhere, which takes about as long as a call.
constexpr milliseconds max_trial_wait{300};
constexpr milliseconds trial_retry_period{20};
// A closed port answers within a round trip. A longer check tells nothing, so the request goes on without its result.
constexpr milliseconds crash_check_timeout{60};

constexpr int http_server_error = 500;

} // namespace

plain_call::plain_call(node_context& context, admitted_request request)
    : context_(context), request_(std::move(request)), work_(context), slot_(context)
{}

void plain_call::start()
{
    request_.exchange->on_closed([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->done_) {
            log(log_level::info, log_event::request_ended,
                {{"request", self->request_.caller.id.str()}, {"outcome", "caller_left"}});
            self->finish();
        }
    });
    if (request_.deadline != instant::max()) {
        deadline_timer_ =
            context_.timers.after(std::max(remaining_time(), milliseconds(0)), [self = shared_from_this()] {
                auto reason = make_error(error_kind::deadline_exceeded, "no answer before the deadline");
                reason.outcome = self->may_have_run() ? run_outcome::may_have_run : run_outcome::not_run;
                self->reply_error(reason);
            });
    }
    if (context_.paths.lost(request_.service) && can_forward()) {
        forward();
    } else {
        serve();
    }
}

bool plain_call::can_forward() const
{
    // Another host may not know yet of a quarantine that has just begun.
    return !request_.forwarded && !forwarded_ && (unreachable_ > 0 || context_.paths.lost(request_.service)) &&
           remaining_time() > min_attempt_time && !context_.quarantine->forbids(request_.traits) &&
           request_forwarder::possible(context_);
}

void plain_call::forward()
{
    forwarded_ = true;
    request_forwarder::hooks hooks;
    const auto self = shared_from_this();
    // An answer that has begun cannot be replaced by an error any more; the other host keeps the deadline.
    hooks.on_begun = [self] { self->context_.timers.cancel(self->deadline_timer_); };
    hooks.on_done = [self] {
        log(log_level::info, log_event::request_ended,
            {{"request", self->request_.caller.id.str()}, {"outcome", "forwarded"}});
        self->context_.counters.add("requests_total{kind=\"plain\",outcome=\"forwarded\"}");
        self->finish();
    };
    hooks.on_unserved = [self](const std::optional<error>& refusal) { self->on_unserved(refusal); };
    hooks.on_failed = [self](const error& reason) {
        self->forwarder_.reset();
        ++self->accepted_;
        self->retry_or_fail(reason);
    };
    const auto forwarder = std::make_shared<request_forwarder>(context_, request_, accepted_ > 0, std::move(hooks));
    forwarder_ = forwarder;
    forwarder->start();
}

void plain_call::on_unserved(const std::optional<error>& refusal)
{
    forwarder_.reset();
    if (!forwarding_reason_) {
        serve();
        return;
    }
    auto reason = *forwarding_reason_;
    if (accepted_ > 0) {
        reason = make_error(error_kind::upstream_failed, "no other host reaches an upstream");
    } else if (!reason.retry_after) {
        reason.retry_after = refusal ? refusal->retry_after.value_or(retry_after) : retry_after;
    }
    reply_error(reason);
}

void plain_call::serve()
{
    const bool forbidden = context_.quarantine->forbids(request_.traits);
    // The callback owns the request while it waits, because no call is in progress that would keep it alive.
    context_.quarantine->admit(request_.caller.id, request_.traits,
                               [self = shared_from_this(), forbidden](bool admitted) {
                                   if (self->done_) {
                                       return;
                                   }
                                   if (!admitted) {
                                       self->refuse_quarantined();
                                       return;
                                   }
                                   self->probe_ = forbidden;
                                   self->attempt();
                               });
}

void plain_call::refuse_quarantined()
{
    auto reason = make_error(error_kind::request_quarantined, "the request has crashed several upstreams");
    if (accepted_ > 0) {
        reason = make_error(error_kind::upstream_failed, "not repeated: the request has crashed several upstreams");
    }
    reply_error(reason);
}

milliseconds plain_call::remaining_time() const
{
    return std::chrono::duration_cast<milliseconds>(request_.deadline - context_.timers.now());
}

void plain_call::attempt()
{
    if (!probe_ && context_.quarantine->forbids(request_.traits)) {
        refuse_quarantined();
        return;
    }
    if (accepted_ == 0 && request_.may_outlive(context_.exit_at)) {
        reply_error(refusal_of_leaving_host());
        return;
    }
    auto excluded = excluded_;
    excluded.insert(excluded.end(), occupied_.begin(), occupied_.end());
    const auto chosen = select_instance(context_.selection(std::move(excluded)), request_.service,
                                        placement_hash(request_.caller.id.str()));
    if (!chosen && !occupied_.empty()) {
        wait_for_trial();
        return;
    }
    if (!chosen) {
        auto reason = make_error(error_kind::no_upstream, context_.directory.all_evacuated(request_.service)
                                                              ? "the availability zones of all upstreams are evacuated"
                                                              : "no upstream of the service accepts the request");
        reason.retry_after = std::max(retry_after, context_.time_until_open(request_.service));
        if (accepted_ == 0 && unreachable_ > 0 && can_forward()) {
            forwarding_reason_ = reason;
            forward();
            return;
        }
        if (accepted_ > 0) {
            reason = make_error(error_kind::upstream_failed, "no other upstream accepts the request");
        }
        reply_error(reason);
        return;
    }
    request_trial(*chosen);
}

void plain_call::request_trial(const upstream_record& chosen)
{
    context_.quarantine->begin_trial(
        request_.caller.id, request_.traits, chosen.id, false,
        [self = shared_from_this(), chosen](trial_verdict verdict, const std::optional<trial>& started) {
            if (self->done_) {
                if (started) {
                    self->context_.quarantine->end_trial(*started);
                }
                return;
            }
            switch (verdict) {
            case trial_verdict::granted:
                self->trial_ = started;
                self->request_rate(chosen);
                return;
            case trial_verdict::wait:
                self->wait_for_trial();
                return;
            case trial_verdict::use_other_upstream:
                self->occupied_.push_back(chosen.id);
                self->attempt();
                return;
            }
        });
}

void plain_call::wait_for_trial()
{
    const auto now = context_.timers.now();
    if (trial_deadline_ == instant{}) {
        trial_deadline_ = now + max_trial_wait;
    }
    if (now >= trial_deadline_) {
        auto reason = make_error(error_kind::no_upstream, "the same request may have crashed an upstream");
        reason.retry_after = retry_after;
        if (accepted_ > 0) {
            reason = make_error(error_kind::upstream_failed, "not repeated: the request may have crashed an upstream");
        }
        reply_error(reason);
        return;
    }
    occupied_.clear();
    // The callback owns the request while it waits, because no call is in progress that would keep it alive.
    step_timer_ = context_.timers.after(trial_retry_period, [self = shared_from_this()] {
        if (!self->done_) {
            self->attempt();
        }
    });
}

void plain_call::end_trial()
{
    if (const auto ended = std::exchange(trial_, std::nullopt)) {
        context_.quarantine->end_trial(*ended);
    }
}

void plain_call::request_rate(const upstream_record& chosen)
{
    context_.rates->request(chosen.id, [self = shared_from_this(), chosen](bool granted) {
        if (granted) {
            self->slot_.take(chosen.id);
        }
        if (self->done_) {
            self->slot_.release(false);
            return;
        }
        if (granted) {
            self->send(chosen);
        } else {
            self->end_trial();
            self->attempt();
        }
    });
}

void plain_call::send(const upstream_record& upstream)
{
    upstream_call call;
    call.expected = upstream.id;
    call.organisation = request_.organisation;
    http_call_request out;
    out.address = upstream.address;
    out.method = request_.message.method;
    out.target = request_.message.target;
    out.shared_body = request_.body;
    out.body_budget = context_.answer_buffers;
    out.connect_timeout = connect_timeout;
    out.head_timeout = milliseconds(0);
    if (request_.deadline != instant::max()) {
        const auto remaining = std::max(remaining_time(), milliseconds(1));
        call.deadline = remaining;
        const bool another_attempt_allowed =
            request_.matched_route->idempotent && accepted_ + 1 < request_.matched_route->max_attempts;
        out.head_timeout =
            another_attempt_allowed
                ? std::max(milliseconds(1), milliseconds(static_cast<std::int64_t>(
                                                attempt_time_share * static_cast<double>(remaining.count()))))
                : remaining;
        out.idle_timeout = out.head_timeout;
    }
    out.headers = platform::upstream_headers(request_.message.headers, call);
    ++sent_;
    in_flight_ = true;
    sent_at_ = context_.timers.now();
    work_.assign(upstream.id, {1, 0, 0, 0});
    call_ = context_.client.fetch(
        std::move(out), max_answer_bytes, request_.exchange->sequence(),
        [self = shared_from_this(), upstream](const http_call_result& end, const http_response& answer) {
            if (!self->done_) {
                self->on_call_end(upstream, end, answer);
            }
        });
    identify_process(upstream);
}

void plain_call::identify_process(const upstream_record& upstream)
{
    process_start_ms_ = 0;
    if (!context_.crashes->answers_without_framing(upstream.id)) {
        return;
    }
    context_.crashes->identify(upstream, sent_at_, [self = shared_from_this(), call = call_](std::int64_t start) {
        if (call == self->call_ && call->peer_connected()) {
            self->process_start_ms_ = start;
        }
    });
}

void plain_call::on_call_end(const upstream_record& upstream, const http_call_result& end, const http_response& answer)
{
    work_.release();
    in_flight_ = false;
    const auto now = context_.timers.now();
    if (end.end == http_call_outcome::connect_failed) {
        end_trial();
        slot_.release(false);
        ++unreachable_;
        context_.record_path(sent_at_, upstream, false);
        context_.loads.record_outcome(now, upstream.id, true);
        excluded_.push_back(upstream.id);
        // Nothing was sent, so this does not count as an attempt.
        --sent_;
        retry_or_fail(make_error(error_kind::no_upstream, "the upstream cannot be reached: " + end.detail));
        return;
    }
    if (answer.status != 0) {
        context_.crashes->record_framing(upstream.id, end.framed);
    }
    if (answer.status != 0 || end.end == http_call_outcome::lost) {
        context_.record_path(sent_at_, upstream, answer.status != 0);
    }
    if (answer.status == 0 && end.end == http_call_outcome::timeout) {
        context_.paths.record_doubt(now, request_.service);
    }
    const auto facts = platform::read_upstream_response_head(answer.status, answer.headers, request_.caller.id);
    context_.rates->on_answer(upstream.id, facts);
    slot_.release(end.end == http_call_outcome::complete && facts.refused);
    if (end.end == http_call_outcome::complete && facts.refused) {
        end_trial();
        // After a rest that it has asked for, the upstream is used again at once.
        context_.loads.record_outcome(now, upstream.id, !facts.rest);
        excluded_.push_back(upstream.id);
        retry_or_fail(make_error(error_kind::overloaded, "the upstream refused the request"));
        return;
    }
    ++accepted_;
    if (end.end == http_call_outcome::complete && !end.framed) {
        confirm_end(upstream, end, answer);
    } else {
        on_accepted_call_end(upstream, end, answer);
    }
}

void plain_call::confirm_end(const upstream_record& upstream, const http_call_result& end, const http_response& answer)
{
    context_.crashes->confirm_end(process(upstream), [self = shared_from_this(), upstream, end, answer](bool crashed) {
        if (self->done_) {
            return;
        }
        auto confirmed = end;
        if (crashed) {
            confirmed.end = http_call_outcome::lost;
            confirmed.detail = "the upstream has crashed";
        }
        self->on_accepted_call_end(upstream, confirmed, answer);
    });
}

void plain_call::on_accepted_call_end(const upstream_record& upstream, const http_call_result& end,
                                      const http_response& answer)
{
    const auto now = context_.timers.now();
    const auto facts = platform::read_upstream_response_head(answer.status, answer.headers, request_.caller.id);
    const bool usable = end.end == http_call_outcome::complete && facts.stamped && !facts.foreign && !facts.encoded;
    const bool server_error = usable && facts.status >= http_server_error;
    context_.loads.record_outcome(now, upstream.id, !usable || server_error);
    if (usable) {
        context_.quarantine->add_sound_traits(now, {request_.traits.front()});
    }
    if (end.end != http_call_outcome::lost) {
        end_trial();
    }
    if (usable && !(server_error && may_retry())) {
        forward(upstream, answer);
        return;
    }
    excluded_.push_back(upstream.id);
    const auto detail = end.end == http_call_outcome::complete ? std::string("the answer cannot be used") : end.detail;
    const auto reason = make_error(error_kind::upstream_failed, "the upstream failed: " + detail);
    if (end.end == http_call_outcome::lost) {
        check_for_crash(upstream, reason);
    } else {
        retry_or_fail(reason);
    }
}

void plain_call::check_for_crash(const upstream_record& upstream, const error& reason)
{
    auto waiting = std::make_shared<bool>(true);
    const auto go_on = [self = shared_from_this(), waiting, reason] {
        if (std::exchange(*waiting, false) && !self->done_) {
            self->context_.timers.cancel(self->step_timer_);
            self->retry_or_fail(reason);
        }
    };
    step_timer_ = context_.timers.after(crash_check_timeout, go_on);
    context_.crashes->check(
        process(upstream), request_.caller.id, {false, {request_.traits.front()}},
        [self = shared_from_this(), go_on, started = std::exchange(trial_, std::nullopt)](bool crashed) {
            if (started && !crashed) {
                self->context_.quarantine->end_trial(*started);
            }
            go_on();
        });
}

bool plain_call::may_have_run() const
{
    return accepted_ > 0 || in_flight_ || (forwarder_ && forwarder_->may_have_run());
}

void plain_call::abort(const std::string& reason)
{
    if (!done_) {
        reply_error(make_error(may_have_run() ? error_kind::upstream_failed : error_kind::leaving, reason));
    }
}

bool plain_call::may_retry() const
{
    return request_.matched_route->idempotent && accepted_ < request_.matched_route->max_attempts &&
           sent_ < max_offers && remaining_time() > min_attempt_time;
}

void plain_call::retry_or_fail(error reason)
{
    const bool was_accepted = accepted_ > 0;
    const bool allowed = was_accepted ? may_retry() : sent_ < max_offers && remaining_time() > min_attempt_time;
    // A request that did not reach an upstream puts no load on it, so the next attempt does not use the retry budget.
    const bool reached_upstream = reason.kind != error_kind::no_upstream;
    const bool may_forward = context_.paths.lost(request_.service) ? can_forward() : !allowed && can_forward();
    if (!was_accepted && !reached_upstream && may_forward) {
        forwarding_reason_ = reason;
        forward();
        return;
    }
    // Without any path and without help, a further upstream would only cost the caller another time-out.
    const bool hopeless = !reached_upstream && context_.paths.lost(request_.service);
    if (allowed && !hopeless && (!reached_upstream || context_.retry_budget_for(request_.service).take())) {
        log(log_level::info, log_event::request_retried,
            {{"request", request_.caller.id.str()},
             {"upstream", excluded_.empty() ? std::string() : excluded_.back().str()},
             {"reason", reason.message}});
        if (may_forward) {
            forwarding_reason_ = reason;
            forward();
            return;
        }
        attempt();
        return;
    }
    if (was_accepted) {
        reason.kind = error_kind::upstream_failed;
        reason.outcome = run_outcome::may_have_run;
    } else {
        reason.retry_after = std::max(retry_after, context_.time_until_open(request_.service));
    }
    reply_error(reason);
}

void plain_call::forward(const upstream_record& upstream, const http_response& answer)
{
    context_.retry_budget_for(request_.service).refill();
    log(log_level::info, log_event::request_ended,
        {{"request", request_.caller.id.str()},
         {"outcome", "answered"},
         {"upstream", upstream.id.str()},
         {"status", std::to_string(answer.status)},
         {"upstreams", std::to_string(sent_)}});
    context_.counters.add("requests_total{kind=\"plain\",outcome=\"answered\"}");
    auto exchange = request_.exchange;
    finish();
    exchange->reply(answer.status, platform::caller_headers(answer.headers), answer.body);
}

void plain_call::reply_error(const error& reason)
{
    context_.retry_budget_for(request_.service).refill();
    context_.counters.add("requests_total{kind=\"plain\",outcome=\"" + std::string(to_string(reason.kind)) + "\"}");
    auto exchange = request_.exchange;
    finish();
    send_error_response(*exchange, request_.caller.id, reason);
}

void plain_call::finish()
{
    if (std::exchange(done_, true)) {
        return;
    }
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(step_timer_);
    end_trial();
    slot_.release(false);
    work_.release();
    if (call_) {
        call_->cancel();
    }
    if (const auto forwarder = std::exchange(forwarder_, nullptr)) {
        forwarder->cancel();
    }
}

} // namespace anvillead
