#include "node/placement_service.h"

#include <cstdlib>

#include "core/log.h"
#include "dispatch/responsibility.h"
#include "fleet/report_exchange.h"

namespace anvillead {

namespace {

// Covers a round trip of 3 ms between zones and the scheduling delays of two hosts, but no resending of a lost
// datagram.
constexpr milliseconds answer_timeout{40};
// A scheduler that did not answer is not asked for this long, until the fleet has noticed its loss or it recovered.
constexpr milliseconds silence_backoff{500};
// Period in which waiting questions are checked for free engines.
constexpr milliseconds queue_check_period{8};

} // namespace

placement_service::placement_service(node_context& context, send_hook send)
    : context_(context), send_(std::move(send)),
      scheduler_(
          context.directory, context.loads,
          [this](const service_name& name) { return context_.routes ? context_.routes->service(name) : nullptr; },
          [this](const host_id& asker, const placement_response& answer) { send_answer(asker, answer); })
{
    if (context_.settings.orders_by_cost) {
        scheduler_.set_order(request_order::cost);
    }
    scheduler_.on_forecast_checked([this](milliseconds late) {
        context_.counters.observe_ms("room_forecast_error", std::abs(static_cast<double>(late.count())));
    });
}

void placement_service::learn()
{
    scheduler_.learn(context_.timers.now());
}

std::optional<host_id> placement_service::scheduler_of(const service_name& service)
{
    // A small fleet needs no scheduler: its hosts learn each other's work within milliseconds.
    if (context_.peers.live_count() + 1 <= relay_limits().max_direct_hosts || !candidates_) {
        return std::nullopt;
    }
    if (schedulers_version_ != context_.peers.version()) {
        schedulers_version_ = context_.peers.version();
        schedulers_.clear();
    }
    auto& out = schedulers_[service];
    if (out.empty()) {
        std::vector<host_id> hosts;
        for (const auto& it : candidates_()) {
            const auto* report = context_.peers.find(it);
            const bool leaving = report == nullptr ? context_.leaving : report->leaving;
            if (!leaving && (report == nullptr || report->ready)) {
                hosts.push_back(it);
            }
        }
        out = responsible_host(hosts, "scheduler/" + service.str());
    }
    return out.empty() ? std::nullopt : std::optional<host_id>(out);
}

std::optional<host_id> placement_service::scheduler_of_engines(const service_name& service)
{
    const auto* profile = context_.routes ? context_.routes->service(service) : nullptr;
    return profile != nullptr && profile->engine ? scheduler_of(service) : std::nullopt;
}

std::optional<host_id> placement_service::decider_of(const service_name& service)
{
    auto scheduler = scheduler_of(service);
    const bool silent = scheduler && *scheduler == silent_scheduler_ && context_.timers.now() < silent_until_;
    if (scheduler && !silent) {
        return scheduler;
    }
    return context_.settings.orders_by_cost ? std::optional<host_id>(context_.settings.host) : std::nullopt;
}

void placement_service::request_engine(placement_request question, done_hook done)
{
    const auto now = context_.timers.now();
    const auto scheduler = decider_of(question.service);
    if (!scheduler) {
        done({std::nullopt, true, {}});
        return;
    }
    log_scheduler_change(question.service, *scheduler);
    question.number = ++last_number_;
    const auto number = question.number;
    auto& value = pending_[number];
    value.question = std::move(question);
    value.scheduler = *scheduler;
    value.done = std::move(done);
    value.timer =
        context_.timers.after(answer_timeout, [self = shared_from_this(), number] { self->on_timeout(number); });
    if (*scheduler == context_.settings.host) {
        const auto copy = value.question;
        scheduler_.ask(now, *scheduler, copy);
        schedule_queue_check();
        return;
    }
    send_question(value);
}

void placement_service::log_scheduler_change(const service_name& service, const host_id& host)
{
    auto& known = last_schedulers_[service];
    if (known != host) {
        known = host;
        log(log_level::info, log_event::scheduler_chosen,
            {{"service", service.str()},
             {"host", host.str()},
             {"hosts", std::to_string(context_.peers.live_count() + 1)}});
    }
}

void placement_service::send_question(const pending_question& value)
{
    const auto* report = context_.peers.find(value.scheduler);
    if (report != nullptr) {
        send_(report->addresses.report, encode_request({context_.settings.host, value.question}));
    }
}

bool placement_service::receive(const std::string& datagram)
{
    if (const auto answer = decode_response(datagram)) {
        handle_answer(*answer);
        return true;
    }
    if (const auto question = decode_request(datagram)) {
        scheduler_.ask(context_.timers.now(), question->asker, question->question);
        schedule_queue_check();
        return true;
    }
    return false;
}

void placement_service::send_answer(const host_id& asker, const placement_response& answer)
{
    if (answer.verdict == placement_verdict::granted) {
        context_.counters.add("places_given_total");
    } else if (answer.verdict == placement_verdict::refused) {
        context_.counters.add("places_refused_total");
    }
    if (asker == context_.settings.host) {
        handle_answer(answer);
        return;
    }
    const auto* report = context_.peers.find(asker);
    if (report != nullptr) {
        send_(report->addresses.report, encode_response(answer));
    }
}

void placement_service::handle_answer(const placement_response& answer)
{
    const auto found = pending_.find(answer.number);
    if (found == pending_.end() || found->second.question.request != answer.request) {
        return;
    }
    auto& value = found->second;
    switch (answer.verdict) {
    case placement_verdict::waiting:
        if (!std::exchange(value.waiting, true)) {
            context_.timers.cancel(value.timer);
            value.timer = context_.timers.after(
                value.question.patience + answer_timeout,
                [self = shared_from_this(), number = answer.number] { self->on_timeout(number); });
            log(log_level::info, log_event::request_waiting,
                {{"request", answer.request.str()},
                 {"most_ms", std::to_string(value.question.patience.count())},
                 {"needed_tokens", std::to_string(value.question.memory_tokens)},
                 {"scheduler", value.scheduler.str()}});
        }
        return;
    case placement_verdict::granted: {
        if (!context_.directory.accepts(answer.engine)) {
            // The scheduler's directory, or its list of evacuated zones, is older or newer than that of this host.
            finish(answer.number, {std::nullopt, true, {}});
            return;
        }
        finish(answer.number, {context_.directory.find(answer.engine)->record, false, value.scheduler});
        return;
    }
    case placement_verdict::refused:
        finish(answer.number, {std::nullopt, false, value.scheduler, answer.retry_after, answer.requests_before});
        return;
    case placement_verdict::unable:
        finish(answer.number, {std::nullopt, true, {}});
        return;
    }
}

void placement_service::on_timeout(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    silent_scheduler_ = found->second.scheduler;
    silent_until_ = context_.timers.now() + silence_backoff;
    context_.counters.add("scheduler_silences_total");
    log(log_level::warning, log_event::scheduler_silent,
        {{"request", found->second.question.request.str()}, {"host", silent_scheduler_.str()}});
    finish(number, {std::nullopt, true, {}});
}

void placement_service::finish(std::uint64_t number, const placement_result& outcome)
{
    auto node = pending_.extract(number);
    context_.timers.cancel(node.mapped().timer);
    node.mapped().done(outcome);
}

void placement_service::schedule_queue_check()
{
    if (scheduler_.waiting() == 0 || std::exchange(queue_check_scheduled_, true)) {
        return;
    }
    context_.timers.after(queue_check_period, [self = shared_from_this()] {
        self->queue_check_scheduled_ = false;
        const auto now = self->context_.timers.now();
        self->context_.loads.expire(now);
        self->scheduler_.look(now);
        self->schedule_queue_check();
    });
}

} // namespace anvillead
