#include <algorithm>

#include "core/crypto.h"
#include "core/log.h"
#include "node/generation_relay.h"
#include "node/placement_service.h"
#include "node/rate_service.h"
#include "platform/engine_calls.h"

namespace anvillead {

namespace {

constexpr milliseconds step_period{5};
// The stream of a stopped generation ends within a few milliseconds after the answer to its final copy call.
constexpr milliseconds stopped_stream_wait{120};
constexpr std::size_t max_copy_answer_bytes = 16 * 1024;
// Time in which an engine whose stream is lost has to answer the final copy call, about that in which this host finds
// out that an engine is gone; and calls within it, with the pause between them.
constexpr milliseconds final_copy_wait{1000};
constexpr int max_final_copies = 10;
constexpr milliseconds final_copy_retry_pause{40};
// Tokens that an engine still generates for certain between its notice and its end, at less than 10 ms per token.
constexpr std::int64_t tokens_within_notice = 100;
// Longest wait for room on another engine: engines leave within about two seconds of their notice, and the copy takes
// some tenths of a second.
constexpr milliseconds move_room_wait{1500};

} // namespace

void generation_relay::on_upstream_leaving(const upstream_id& upstream)
{
    if (done_) {
        return;
    }
    if (target_ && upstream == target_->id && phase_ != phase::switching_over) {
        drop_target();
        return;
    }
    if (upstream != engine_.id || move_.begun() || phase_ == phase::placing || phase_ == phase::confirming) {
        return;
    }
    const auto* service = request_.table->service(request_.service);
    if (!service->engine || !service->engine->moves) {
        return;
    }
    constexpr double steps = 1024;
    const auto hash = placement_hash(request_.caller.id.str()) % static_cast<std::uint64_t>(steps);
    move_.begin(context_.timers.now(), static_cast<double>(hash) / steps);
    schedule_move_step(milliseconds(1));
}

void generation_relay::drop_target()
{
    // The copy is lost with its engine, so the move starts again with another target.
    ++copy_epoch_;
    if (!copy_handle_.empty()) {
        release_copy();
    }
    work_.set_copying(false);
    target_work_.release();
    target_.reset();
    move_.begin(context_.timers.now(), 0);
    schedule_move_step(step_period);
}

void generation_relay::on_upstream_restarted(const upstream_id& upstream)
{
    if (done_ || upstream != engine_.id || phase_ == phase::placing) {
        return;
    }
    // The engine may have begun to serve before this host heard of its start, so the generation may be one of the
    // process that runs now. Its connection tells: it does not outlive the process.
    const auto* entry = context_.directory.find(engine_.id);
    if (entry != nullptr && entry->record.address == engine_.address) {
        return;
    }
    if (phase_ == phase::switching_over) {
        source_closed_ = true;
        source_complete_ = false;
        limit_final_copy();
    } else {
        leave_source("the engine restarted");
    }
}

void generation_relay::schedule_move_step(milliseconds delay)
{
    context_.timers.cancel(step_timer_);
    step_timer_ = context_.timers.after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->done_) {
            self->move_step_due();
        }
    });
}

bool generation_relay::worth_moving() const
{
    return request_.caller.output_limit - generated_tokens() > tokens_within_notice;
}

std::int64_t generation_relay::generated_tokens() const
{
    const auto profile = request_.table->service(request_.service)->engine.value_or(engine_profile{});
    return events_ * profile.tokens_per_event;
}

bool generation_relay::others_copying() const
{
    const int own_copies = work_.copying() ? 1 : 0;
    if (context_.loads.total(engine_.id).copies > own_copies) {
        return true;
    }
    const int own_target_copies = target_work_.copying() ? 1 : 0;
    return move_.copied() && target_ && context_.loads.total(target_->id).copies > own_target_copies;
}

std::optional<upstream_record> generation_relay::select_target_locally()
{
    auto input = context_.selection(excluded_);
    input.excluded.push_back(engine_.id);
    input.own_zone = engine_.availability_zone;
    auto moved = need();
    moved.prompt_tokens = 0;
    return select_engine(input, *request_.table->service(request_.service), moved, move_weights());
}

void generation_relay::request_target()
{
    target_requested_ = true;
    auto question = make_question();
    question.moving = true;
    question.produced_tokens = generated_tokens();
    if (context_.settings.orders_by_cost) {
        question.patience = move_room_wait;
    }
    question.availability_zone = engine_.availability_zone;
    question.excluded.push_back(engine_.id);
    context_.placements->request_engine(
        std::move(question), [weak = weak_from_this(), source = engine_.id](const auto& result) {
            const auto self = weak.lock();
            if (!self || self->done_) {
                return;
            }
            const auto target = result.unanswered ? self->select_target_locally() : result.engine;
            if (!target || (!result.unanswered && result.chosen_by == self->context_.rates->owner(target->id))) {
                self->finish_target_request(source, target);
                return;
            }
            self->context_.rates->request(target->id, [weak, source, target](bool granted) {
                if (const auto relay = weak.lock(); relay && !relay->done_) {
                    relay->finish_target_request(source, granted ? target : std::nullopt);
                }
            });
        });
}

void generation_relay::finish_target_request(const upstream_id& source, const std::optional<upstream_record>& target)
{
    target_requested_ = false;
    if (engine_.id == source) {
        on_target_chosen(target);
    }
}

void generation_relay::on_target_chosen(const std::optional<upstream_record>& target)
{
    if (!move_.begun()) {
        return;
    }
    schedule_move_step(step_period);
    if (move_.copying() || phase_ != phase::streaming) {
        return;
    }
    target_ = target;
    if (target_) {
        start_copy(*target_, false);
    } else {
        move_.copy_started();
        move_.copy_failed(context_.timers.now());
    }
}

void generation_relay::move_step_due()
{
    if (!move_.begun() || target_requested_ || phase_ == phase::switching_over || phase_ == phase::placing ||
        phase_ == phase::confirming) {
        return;
    }
    // There is nothing to copy before the first event.
    if (phase_ == phase::sent || events_ == 0) {
        schedule_move_step(step_period);
        return;
    }
    // A prompt under quarantine may crash the engine that goes on with it.
    if (!worth_moving() || is_quarantined()) {
        return;
    }
    if (target_ && !context_.directory.accepts(target_->id)) {
        // Its zone has been evacuated since it was chosen.
        drop_target();
        return;
    }
    switch (move_.next(context_.timers.now(), others_copying())) {
    case move_step::wait:
        break;
    case move_step::copy:
        request_target();
        return;
    case move_step::change_over:
        start_final_copy(false);
        return;
    case move_step::stay: {
        auto fields = log_context();
        fields.emplace_back("problem", "no copy succeeded");
        log(log_level::warning, log_event::generation_move_abandoned, fields);
        return;
    }
    }
    schedule_move_step(step_period);
}

void generation_relay::start_copy(const upstream_record& target, bool final_copy)
{
    auto fields = log_context();
    fields.emplace_back("target", target.id.str());
    fields.emplace_back("last", final_copy ? "yes" : "no");
    log(log_level::info, log_event::generation_copy_started, fields);
    if (!final_copy) {
        target_work_.assign(target.id, {1, 0, request_.caller.prompt_tokens + planned_output_, 1});
        move_.copy_started();
        work_.set_copying(true);
    }
    ++copy_epoch_;
    const auto mode = final_copy ? platform::kv_cache_copy_mode::stopping : platform::kv_cache_copy_mode::running;
    context_.client.fetch(platform::make_copy_request(engine_.address, request_.caller.id, target.address, mode),
                          max_copy_answer_bytes, request_.exchange->sequence(),
                          [self = shared_from_this(), final_copy, n = copy_epoch_](const http_call_result& end,
                                                                                   const http_response& answer) {
                              if (!self->done_ && n == self->copy_epoch_) {
                                  self->copy_ended(final_copy, end, answer);
                              }
                          });
}

void generation_relay::leave_source(const std::string& reason)
{
    if (!can_continue_from_copy()) {
        fail(make_error(error_kind::generation_lost, "the engine's stream ended early: " + reason));
        return;
    }
    auto fields = log_context();
    fields.emplace_back("problem", reason);
    log(log_level::warning, log_event::generation_lost, fields);
    start_final_copy(true);
}

void generation_relay::start_final_copy(bool source_closed)
{
    phase_ = phase::switching_over;
    source_closed_ = source_closed;
    source_complete_ = false;
    final_copy_done_ = false;
    final_copy_unanswered_ = false;
    final_copies_ = 0;
    final_copy_deadline_ = {};
    if (source_closed) {
        limit_final_copy();
    }
    start_copy(*target_, true);
}

void generation_relay::limit_final_copy()
{
    final_copy_deadline_ = context_.timers.now() + final_copy_wait;
    context_.timers.cancel(step_timer_);
    step_timer_ = context_.timers.after(final_copy_wait, [self = shared_from_this(), n = call_epoch_] {
        if (!self->done_ && n == self->call_epoch_ && self->phase_ == phase::switching_over) {
            self->continue_from_copy("the engine did not answer the final copy call");
        }
    });
}

void generation_relay::final_copy_failed(const http_call_result& end, const error& reason)
{
    if (final_copy_deadline_ == instant{}) {
        limit_final_copy();
    }
    const bool answered = end.end == http_call_outcome::complete;
    final_copy_unanswered_ = final_copy_unanswered_ || !answered;
    // The call stops the generation before it copies; a copy in progress is that of an earlier call.
    const bool stopped = reason.kind == error_kind::not_found || end.refused || end.end == http_call_outcome::timeout ||
                         (reason.kind == error_kind::conflict && final_copy_unanswered_);
    const bool last =
        ++final_copies_ >= max_final_copies || context_.timers.now() + final_copy_retry_pause >= final_copy_deadline_;
    if (stopped || (last && final_copy_unanswered_)) {
        continue_from_copy(reason.message);
        return;
    }
    if (last) {
        fail(make_error(error_kind::generation_lost, "the engine may work on without a stream: " + reason.message));
        return;
    }
    context_.timers.after(final_copy_retry_pause, [self = shared_from_this(), n = copy_epoch_] {
        if (!self->done_ && n == self->copy_epoch_) {
            self->start_copy(*self->target_, true);
        }
    });
}

void generation_relay::copy_ended(bool final_copy, const http_call_result& end, const http_response& answer)
{
    const auto copy = platform::parse_copy_response(end, answer);
    auto fields = log_context();
    fields.emplace_back("last", final_copy ? "yes" : "no");
    if (!copy) {
        fields.emplace_back("problem", copy.error().message);
    }
    log(log_level::info, log_event::generation_copy_ended, fields);
    const auto now = context_.timers.now();
    if (copy) {
        copy_handle_ = copy.value().handle;
    }
    if (!final_copy) {
        target_work_.set_copying(false);
        if (copy) {
            move_.copy_succeeded();
            // While another copy uses the link, the switch-over waits. This generation then does not count as copying,
            // so that others get their turn.
            work_.set_copying(!others_copying());
            move_step_due();
            return;
        }
        move_.copy_failed(now);
        work_.set_copying(false);
        target_work_.release();
        if (copy.error().kind == error_kind::overloaded && target_) {
            excluded_.push_back(target_->id);
        }
        return;
    }
    if (copy) {
        final_copy_done_ = true;
        if (source_closed_) {
            switch_over();
            return;
        }
        step_timer_ = context_.timers.after(stopped_stream_wait, [self = shared_from_this(), n = call_epoch_] {
            if (!self->done_ && n == self->call_epoch_) {
                self->switch_over();
            }
        });
        return;
    }
    if (const auto handle = platform::refused_copy_handle(answer); !handle.empty()) {
        // The generation has stopped, but its engine still holds the memory, so it is resumed there.
        copy_handle_.clear();
        if (target_) {
            excluded_.push_back(target_->id);
            target_.reset();
        }
        move_.reset();
        const auto* source = context_.directory.find(engine_.id);
        if (source != nullptr && context_.directory.is_evacuated(*source)) {
            fail(make_error(error_kind::generation_lost, "its engine's availability zone is evacuated"));
            return;
        }
        send(engine_, resume_point{platform::copy_source(engine_.address, handle), last_event_, events_ > 0});
        return;
    }
    // Only these two answers say that the call has not stopped the generation.
    const bool runs_on = copy.error().kind == error_kind::not_found || copy.error().kind == error_kind::conflict;
    may_be_stopped_ = may_be_stopped_ || (!runs_on && end.may_have_been_sent);
    if (source_closed_ && source_complete_ && !may_be_stopped_) {
        confirm_end();
        return;
    }
    if (source_closed_) {
        final_copy_failed(end, copy.error());
        return;
    }
    // The generation is still running or has just ended; its stream shows which.
    phase_ = phase::streaming;
    move_.copy_failed(now);
    schedule_move_step(step_period);
}

void generation_relay::switch_over()
{
    ++copy_epoch_;
    const auto target = *target_;
    const auto handle = std::exchange(copy_handle_, {});
    if (call_) {
        call_->cancel();
    }
    move_.reset();
    ++moves_;
    auto fields = log_context();
    fields.emplace_back("target", target.id.str());
    fields.emplace_back("after_event", std::to_string(last_event_));
    log(log_level::info, log_event::generation_resumed, fields);
    context_.counters.add("generation_moves_total");
    target_.reset();
    send(target, resume_point{platform::copy_source(engine_.address, handle), last_event_, events_ > 0});
}

bool generation_relay::can_continue_from_copy() const
{
    return !copy_handle_.empty() && target_ && !is_quarantined() && context_.directory.accepts(target_->id);
}

void generation_relay::continue_from_copy(const std::string& reason)
{
    if (can_continue_from_copy()) {
        switch_over();
    } else {
        fail(make_error(error_kind::generation_lost, "the engine was lost before the final copy: " + reason));
    }
}

void generation_relay::resume_refused()
{
    fail(make_error(error_kind::generation_lost, "the engine that holds the copy did not resume the generation"));
}

void generation_relay::release_copy()
{
    context_.client.fetch(platform::make_release_copy_request(engine_.address, std::exchange(copy_handle_, {})),
                          max_copy_answer_bytes, request_.exchange->sequence(),
                          [](const http_call_result&, const http_response&) {
                              // The result does not matter: the engine frees the copy by itself when it expires.
                          });
}

} // namespace anvillead
