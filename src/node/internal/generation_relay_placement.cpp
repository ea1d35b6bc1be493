#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"
#include "core/log.h"
#include "node/error_response.h"
#include "node/generation_relay.h"
#include "node/placement_service.h"
#include "node/quarantine_service.h"
#include "node/rate_service.h"

namespace anvillead {

namespace {

constexpr milliseconds capacity_check_period{25};
constexpr milliseconds trial_retry_period{25};
// From the grant of an engine to the first event, beside the time to read the prompt: other prompts that the engine
// reads first, and the first step.
constexpr milliseconds start_margin{400};
// Time in which an engine generates one token of an answer beside others.
constexpr milliseconds token_time{10};
// Reclaimed engines are replaced within seconds.
constexpr milliseconds retry_after_no_engine{1000};

} // namespace

bool generation_relay::can_forward() const
{
    return !request_.forwarded && !forwarded_ && (unreachable_ > 0 || context_.paths.lost(request_.service)) &&
           request_forwarder::possible(context_);
}

void generation_relay::forward(const error& reason)
{
    forwarded_ = true;
    phase_ = phase::placing;
    // The request has not been tried here if no engine is known to be unreachable.
    const bool tried = unreachable_ > 0;
    request_forwarder::hooks hooks;
    const auto self = shared_from_this();
    hooks.on_begun = [self] { self->response_started_ = true; };
    hooks.on_done = [self] {
        auto fields = self->log_context();
        fields.emplace_back("outcome", "forwarded");
        log(log_level::info, log_event::request_ended, fields);
        self->context_.counters.add("requests_total{kind=\"generation\",outcome=\"forwarded\"}");
        self->finish();
    };
    hooks.on_unserved = [self, tried, reason](const std::optional<error>& refusal) {
        self->forwarder_.reset();
        if (!tried) {
            self->admit();
            return;
        }
        auto answer = reason;
        answer.retry_after = refusal ? refusal->retry_after.value_or(retry_after_no_engine) : retry_after_no_engine;
        self->fail(answer);
    };
    hooks.on_failed = [self](const error& failure) {
        self->forwarder_.reset();
        self->fail(failure);
    };
    const auto forwarder = std::make_shared<request_forwarder>(context_, request_, false, std::move(hooks));
    forwarder_ = forwarder;
    forwarder->start();
}

void generation_relay::admit()
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
                                   self->request_trial();
                               });
}

void generation_relay::request_trial()
{
    context_.quarantine->begin_trial(
        request_.caller.id, request_.traits, {}, true,
        [self = shared_from_this()](trial_verdict verdict, const std::optional<trial>& started) {
            if (self->done_) {
                if (started) {
                    self->context_.quarantine->end_trial(*started);
                }
                return;
            }
            if (verdict == trial_verdict::granted) {
                self->trial_ = started;
                self->place();
            } else if (self->is_quarantined()) {
                self->refuse_quarantined();
            } else if (self->context_.timers.now() >= self->capacity_deadline_) {
                self->refuse_for_capacity();
            } else {
                // The callback owns the request while it waits, because no call is in progress that would keep it
                // alive.
                self->step_timer_ = self->context_.timers.after(trial_retry_period, [self] {
                    if (!self->done_) {
                        self->request_trial();
                    }
                });
            }
        });
}

void generation_relay::end_trial()
{
    if (const auto ended = std::exchange(trial_, std::nullopt)) {
        context_.quarantine->end_trial(*ended);
    }
}

bool generation_relay::is_quarantined() const
{
    return !probe_ && context_.quarantine->forbids(request_.traits);
}

void generation_relay::refuse_quarantined()
{
    fail(make_error(error_kind::request_quarantined,
                    "the request, or a part of its prompt, has crashed several engines"));
}

void generation_relay::on_requests_quarantined()
{
    if (done_ || events_ > 0 || forwarder_ || !is_quarantined()) {
        return;
    }
    if (phase_ == phase::placing) {
        refuse_quarantined();
        return;
    }
    // The engine stops when its connection closes, usually before it would have begun to answer.
    auto reason = make_error(error_kind::upstream_failed,
                             "cancelled: the request, or a part of its prompt, has crashed several engines");
    reason.outcome = run_outcome::may_have_run;
    fail(reason);
}

void generation_relay::report_sound_prompt()
{
    if (request_.traits.size() > 1) {
        context_.quarantine->add_sound_traits(last_event_at_, {request_.traits.begin() + 1, request_.traits.end()});
    }
}

void generation_relay::report_sound_request()
{
    if (!std::exchange(reported_sound_, true)) {
        context_.quarantine->add_sound_traits(context_.timers.now(), {request_.traits.front()});
        end_trial();
    }
}

generation_need generation_relay::need() const
{
    generation_need out;
    out.memory_tokens = request_.caller.prompt_tokens + planned_output_;
    out.prompt_tokens = request_.caller.prompt_tokens;
    out.output_tokens = std::max<std::int64_t>(0, planned_output_ - generated_tokens());
    out.tie_breaker = placement_hash(request_.caller.id.str());
    return out;
}

placement_request generation_relay::make_question() const
{
    placement_request out;
    out.request = request_.caller.id;
    out.service = request_.service;
    out.availability_zone = context_.settings.availability_zone;
    out.organisation = request_.organisation;
    out.priority = request_.priority;
    out.prompt_tokens = request_.caller.prompt_tokens;
    out.brief = start_margin + reading_time() + planned_output_ * token_time <= request_.matched_route->latency_target;
    out.late = time_to_start().count() <= 0;
    out.memory_tokens = need().memory_tokens;
    out.excluded = excluded_;
    // The scheduler does not know which engines want nothing from this host for a while.
    const auto closed = context_.rates->limits().closed(context_.timers.now());
    out.excluded.insert(out.excluded.end(), closed.begin(), closed.end());
    return out;
}

void generation_relay::on_shutdown()
{
    if (phase_ == phase::placing && !forwarder_ && request_.may_outlive(context_.exit_at)) {
        fail(refusal_of_leaving_host());
    }
}

void generation_relay::place()
{
    phase_ = phase::placing;
    if (request_.may_outlive(context_.exit_at)) {
        fail(refusal_of_leaving_host());
        return;
    }
    if (context_.directory.all_evacuated(request_.service)) {
        refuse_for_capacity();
        return;
    }
    if (!has_engines()) {
        place_on_instance();
        return;
    }
    auto question = make_question();
    question.patience = longest_useful_wait();
    // The callback owns the request while it waits, because no call is in progress that would keep it alive.
    context_.placements->request_engine(
        std::move(question), [self = shared_from_this()](const placement_result& result) {
            if (self->done_) {
                return;
            }
            if (result.unanswered) {
                self->place_locally();
            } else if (!result.engine) {
                self->refuse_for_capacity(result);
            } else if (result.chosen_by == self->context_.rates->owner(result.engine->id)) {
                // The scheduler's grant includes the request rate.
                self->send_placed(*result.engine, result.chosen_by);
            } else {
                self->request_rate(*result.engine, result.chosen_by);
            }
        });
}

milliseconds generation_relay::reading_time() const
{
    const auto tokens = static_cast<double>(request_.caller.prompt_tokens);
    return milliseconds(static_cast<std::int64_t>(tokens / selection_weights().prompt_tokens_per_ms));
}

milliseconds generation_relay::time_to_start() const
{
    // A caller that comes back has less time left than the route gives to a first try.
    auto earlier_tries = milliseconds(0);
    if (request_.caller.patience && request_.matched_route->timeout > *request_.caller.patience) {
        earlier_tries = request_.matched_route->timeout - *request_.caller.patience;
    }
    return request_.matched_route->latency_target - reading_time() - start_margin - earlier_tries;
}

milliseconds generation_relay::longest_useful_wait() const
{
    auto until = capacity_deadline_;
    if (context_.settings.orders_by_cost) {
        const auto in_time = time_to_start();
        // What is late already waits as long as a first try, behind those that can be in time.
        const auto wait =
            in_time.count() > 0 ? in_time : request_.matched_route->latency_target - reading_time() - start_margin;
        until = std::max(until, request_.arrived + wait);
    }
    return std::max(std::chrono::duration_cast<milliseconds>(until - context_.timers.now()), milliseconds(0));
}

bool generation_relay::has_engines() const
{
    return request_.table->service(request_.service)->engine.has_value();
}

void generation_relay::place_on_instance()
{
    const auto chosen =
        select_instance(context_.selection(excluded_), request_.service, placement_hash(request_.caller.id.str()));
    if (chosen) {
        request_rate(*chosen, context_.settings.host);
    } else {
        refuse_for_capacity();
    }
}

void generation_relay::place_locally()
{
    const auto* service = request_.table->service(request_.service);
    const auto chosen = select_engine(context_.selection(excluded_), *service, need());
    if (chosen) {
        request_rate(*chosen, context_.settings.host);
    } else {
        wait_for_capacity();
    }
}

void generation_relay::request_rate(const upstream_record& chosen, const host_id& chosen_by)
{
    // The callback owns the request while it waits, because no call is in progress that would keep it alive.
    context_.rates->request(chosen.id, [self = shared_from_this(), chosen, chosen_by](bool granted) {
        if (granted && !self->has_engines()) {
            self->slot_.take(chosen.id);
        }
        if (self->done_) {
            self->slot_.release(false);
            return;
        }
        if (granted) {
            self->send_placed(chosen, chosen_by);
        } else if (self->has_engines()) {
            self->place_locally();
        } else {
            self->place_on_instance();
        }
    });
}

void generation_relay::send_placed(const upstream_record& chosen, const host_id& chosen_by)
{
    if (is_quarantined()) {
        refuse_quarantined();
        return;
    }
    auto fields = log_context();
    fields[1].second = chosen.id.str();
    const auto work = context_.loads.total(chosen.id);
    fields.emplace_back("active", std::to_string(work.active));
    fields.emplace_back("unread_tokens", std::to_string(work.unread_tokens));
    fields.emplace_back("memory_tokens", std::to_string(work.memory_tokens));
    fields.emplace_back("needed_tokens", std::to_string(need().memory_tokens));
    if (const auto* speeds = context_.known_speeds()) {
        fields.emplace_back("slowness_percent", fmt::format("{:.0f}", 100 * speeds->slowness(chosen.id)));
    }
    fields.emplace_back("chosen_by", chosen_by.str());
    fields.emplace_back("configuration", std::to_string(request_.table->version));
    log(log_level::info, log_event::request_placed, fields);
    send(chosen, std::nullopt);
}

void generation_relay::wait_for_capacity()
{
    const auto now = context_.timers.now();
    if (now >= capacity_deadline_ || now + context_.time_until_open(request_.service) >= capacity_deadline_) {
        refuse_for_capacity();
        return;
    }
    if (!std::exchange(wait_logged_, true)) {
        auto fields = log_context();
        fields.emplace_back("most_ms",
                            std::to_string(std::chrono::duration_cast<milliseconds>(capacity_deadline_ - now).count()));
        log(log_level::info, log_event::request_waiting, fields);
    }
    // The callback owns the request while it waits, because no call is in progress that would keep it alive.
    step_timer_ = context_.timers.after(capacity_check_period, [self = shared_from_this()] {
        if (!self->done_) {
            self->place_locally();
        }
    });
}

void generation_relay::refuse_for_capacity(const placement_result& refusal)
{
    const bool none = context_.directory.usable(request_.service).empty();
    if (unreachable_ > 0 && can_forward()) {
        forward(make_error(error_kind::no_upstream, "the engines cannot be reached"));
        return;
    }
    const bool evacuated = context_.directory.all_evacuated(request_.service);
    auto reason =
        none ? make_error(error_kind::no_upstream, evacuated ? "the availability zones of all engines are evacuated"
                                                             : "the service has no engine that accepts requests")
             : make_error(error_kind::overloaded, "no engine has free capacity for the request");
    if (refusal.retry_after.count() > 0) {
        reason.message =
            fmt::format("no engine has free capacity for the request, and {} go before it", refusal.requests_before);
        reason.retry_after = std::max(refusal.retry_after, context_.time_until_open(request_.service));
        fail(reason);
        return;
    }
    reason.retry_after =
        std::max(none ? retry_after_no_engine : retry_after_no_capacity, context_.time_until_open(request_.service));
    fail(reason);
}

} // namespace anvillead
