#include "dispatch/placement_scheduler.h"

#include <algorithm>
#include <tuple>

#include "core/crypto.h"

namespace anvillead {

namespace {

// Priority that may use `urgent_memory_share`.
constexpr int urgent_priority = 0;

bool is_brief(const placement_request& question)
{
    return question.brief && !question.moving;
}

} // namespace

placement_scheduler::placement_scheduler(const upstream_directory& directory, load_table& loads,
                                         profile_lookup profiles, answer_callback on_answer, scheduler_limits limits)
    : directory_(directory), loads_(loads), profiles_(std::move(profiles)), on_answer_(std::move(on_answer)),
      limits_(limits)
{}

selection_weights placement_scheduler::weights_for(const placement_request& question)
{
    auto out = question.moving ? move_weights() : selection_weights();
    const bool ordered = limits_.order == request_order::cost;
    const bool may_fill = ordered ? question.moving || question.brief : question.priority == urgent_priority;
    out.memory_share = may_fill ? limits_.urgent_memory_share : limits_.memory_share;
    out.urgent_memory_share = limits_.urgent_memory_share;
    if (ordered && !may_fill) {
        const auto& room = rooms_[question.service];
        out.kept_places = room.brief.places();
        out.place_tokens = room.brief.place_tokens();
        const double others = shares_.active_weight() - shares_.weight(question.organisation);
        const auto place = static_cast<std::int64_t>(room.average_tokens);
        if (others > 0 && place > 0 && shares_.excess(question.organisation) > 0) {
            const auto brief = static_cast<std::int64_t>(out.kept_places) * out.place_tokens;
            out.kept_places = limits_.places_for_others + static_cast<std::size_t>((brief + place - 1) / place);
            out.place_tokens = place;
        }
    }
    return out;
}

void placement_scheduler::ask(instant now, const host_id& asker, const placement_request& question)
{
    if (resend_answer(now, asker, question)) {
        return;
    }
    const auto* service = profiles_(question.service);
    if (now < warmup_until_ || service == nullptr || !service->engine) {
        answer(now, asker, {question.request, question.number, placement_verdict::unable, {}});
        return;
    }
    room_of(*service);
    observe(now);
    end_running(now);
    waiting_request value{asker, question, now};
    value.served = shares_.counter(question.organisation);
    const bool must_wait = std::any_of(waiting_.begin(), waiting_.end(), [&](const waiting_request& it) {
        return it.question.service == question.service && !goes_before(value, it) &&
               it.question.memory_tokens <= question.memory_tokens;
    });
    if (!must_wait && !is_held_back(question)) {
        shares_.add_request(question.organisation, false);
        if (grant(now, asker, question)) {
            return;
        }
        shares_.remove_request(question.organisation);
    }
    enqueue(now, std::move(value));
}

void placement_scheduler::enqueue(instant now, waiting_request value)
{
    const auto turn = forecast(value);
    value.forecast = turn.wait;
    const bool hopeless =
        limits_.order == request_order::cost && !value.question.moving && turn.wait > value.question.patience;
    if (value.question.patience.count() <= 0 || waiting_.size() >= limits_.max_waiting || hopeless) {
        refuse(now, value);
        return;
    }
    const auto question = value.question;
    const auto asker = value.asker;
    const auto& organisation = question.organisation;
    const bool backlogged = std::any_of(waiting_.begin(), waiting_.end(), [&](const waiting_request& it) {
        return it.question.organisation == organisation;
    });
    shares_.add_request(organisation, backlogged);
    waiting_.push_back(std::move(value));
    sort_queue();
    answer(now, asker, {question.request, question.number, placement_verdict::waiting, {}});
}

bool placement_scheduler::goes_before(const waiting_request& a, const waiting_request& b) const
{
    switch (limits_.order) {
    case request_order::arrival:
        return a.arrived < b.arrived;
    case request_order::priority:
        return a.question.priority < b.question.priority;
    case request_order::cost:
        break;
    }
    const auto rank = [](const waiting_request& it) {
        // What needs room for a moment only delays the others least. A running generation goes before new long ones,
        // and the one that loses most goes first. What is late already loses least by a further delay.
        const auto new_tier = (it.question.brief ? 0 : 3) + (it.question.late ? 2 : 0);
        const auto tier = it.question.moving ? 1 : new_tier;
        const auto lost = it.question.moving ? -it.question.produced_tokens : 0;
        const auto latest_start = it.arrived + it.question.patience;
        return std::make_tuple(tier, lost, it.question.priority, it.served, latest_start);
    };
    return rank(a) < rank(b);
}

void placement_scheduler::sort_queue()
{
    for (auto& it : waiting_) {
        it.served = shares_.counter(it.question.organisation);
    }
    std::stable_sort(waiting_.begin(), waiting_.end(),
                     [this](const waiting_request& a, const waiting_request& b) { return goes_before(a, b); });
}

bool placement_scheduler::is_held_back(const placement_request& question) const
{
    if (limits_.order != request_order::cost || question.moving) {
        return false;
    }
    const auto found = rooms_.find(question.service);
    return found != rooms_.end() && found->second.brief_unserved && !is_brief(question);
}

void placement_scheduler::hold_back_others(instant now, const waiting_request& value)
{
    const auto& question = value.question;
    if (limits_.order != request_order::cost || question.moving) {
        return;
    }
    auto& room = rooms_[question.service];
    room.brief_unserved = room.brief_unserved || is_brief(question);
    const std::chrono::duration<double> waited = now - value.arrived;
    if (waited < limits_.passing_share * std::chrono::duration<double>(question.patience)) {
        return;
    }
    const upstream_directory::entry* emptiest = nullptr;
    std::int64_t least = 0;
    for (const auto* it : directory_.usable(question.service)) {
        const auto used = loads_.total(it->record.id).memory_tokens;
        const bool reserved =
            std::find(room.reserved.begin(), room.reserved.end(), it->record.id) != room.reserved.end();
        if (!reserved && (emptiest == nullptr || used < least)) {
            emptiest = it;
            least = used;
        }
    }
    if (emptiest != nullptr && room.reserved.size() < limits_.max_reserved) {
        room.reserved.push_back(emptiest->record.id);
    }
}

turn_forecast placement_scheduler::forecast(const waiting_request& value)
{
    turn_forecast out;
    auto tokens = static_cast<double>(value.question.memory_tokens);
    for (const auto& it : waiting_) {
        if (it.question.service == value.question.service && !goes_before(value, it)) {
            tokens += static_cast<double>(it.question.memory_tokens);
            ++out.requests_before;
        }
    }
    const auto& room = rooms_[value.question.service];
    const double rate = std::max(1.0, room.estimator.rate(room.assumed_rate));
    out.wait = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(tokens / rate));
    return out;
}

placement_scheduler::service_room& placement_scheduler::room_of(const service_profile& service)
{
    auto& out = rooms_[service.name];
    const auto engines = static_cast<double>(directory_.usable(service.name).size());
    const auto memory = static_cast<double>(service.engine.value_or(engine_profile{}).memory_tokens);
    out.assumed_rate =
        limits_.memory_share * memory * engines / std::chrono::duration<double>(limits_.assumed_residence).count();
    return out;
}

void placement_scheduler::observe(instant now)
{
    if (limits_.order != request_order::cost) {
        return;
    }
    for (auto& [name, room] : rooms_) {
        std::size_t waiting = 0;
        std::size_t brief = 0;
        for (const auto& it : waiting_) {
            if (it.question.service == name) {
                ++waiting;
                brief += is_brief(it.question) ? 1 : 0;
            }
        }
        room.brief.observe(now, brief);
        room.estimator.observe_delivery(now, std::exchange(room.granted_tokens, 0), waiting > 0, room.assumed_rate);
    }
}

bool placement_scheduler::resend_answer(instant now, const host_id& asker, const placement_request& question)
{
    const auto found = answers_.find({question.request, question.number});
    if (found == answers_.end() || now - found->second.at > limits_.answer_retention) {
        return false;
    }
    on_answer_(asker, found->second.answer);
    return true;
}

void placement_scheduler::end_running(instant now)
{
    while (!running_.empty() && (running_.front().until <= now || running_.size() > limits_.max_remembered)) {
        shares_.remove_request(running_.front().organisation);
        running_.pop_front();
    }
}

void placement_scheduler::look(instant now)
{
    observe(now);
    end_running(now);
    sort_queue();
    for (auto& [name, room] : rooms_) {
        room.brief_unserved = false;
        room.reserved.clear();
    }
    auto questions = std::exchange(waiting_, {});
    std::vector<waiting_request> unserved;
    for (auto& it : questions) {
        if (!is_held_back(it.question) && grant(now, it.asker, it.question)) {
            if (on_forecast_checked_) {
                const auto waited = std::chrono::duration_cast<milliseconds>(now - it.arrived);
                on_forecast_checked_(waited - it.forecast);
            }
            continue;
        }
        if (now - it.arrived >= it.question.patience) {
            shares_.remove_request(it.question.organisation);
            refuse(now, it);
            continue;
        }
        hold_back_others(now, it);
        unserved.push_back(std::move(it));
    }
    // The answer callback may have called `ask`, which inserts into `waiting_`.
    waiting_.insert(waiting_.end(), std::make_move_iterator(unserved.begin()), std::make_move_iterator(unserved.end()));
    sort_queue();
    for (auto it = answers_.begin(); it != answers_.end();) {
        it = now - it->second.at > limits_.answer_retention ? answers_.erase(it) : std::next(it);
    }
}

bool placement_scheduler::grant(instant now, const host_id& asker, const placement_request& question)
{
    const auto* service = profiles_(question.service);
    if (service == nullptr) {
        return false;
    }
    selection_input input{now, &directory_, &loads_, question.availability_zone, question.excluded, speeds_};
    if (rates_.closed) {
        const auto closed = rates_.closed();
        input.excluded.insert(input.excluded.end(), closed.begin(), closed.end());
    }
    if (!question.moving) {
        const auto& reserved = rooms_[question.service].reserved;
        input.excluded.insert(input.excluded.end(), reserved.begin(), reserved.end());
    }
    const auto output = question.memory_tokens - question.prompt_tokens - question.produced_tokens;
    const generation_need need{question.memory_tokens, question.moving ? 0 : question.prompt_tokens,
                               std::max<std::int64_t>(0, output), placement_hash(question.request.str())};
    const auto weights = weights_for(question);
    auto chosen = select_engine(input, *service, need, weights);
    while (chosen && rates_.take && !rates_.take(chosen->id)) {
        input.excluded.push_back(chosen->id);
        chosen = select_engine(input, *service, need, weights);
    }
    if (!chosen) {
        return false;
    }
    const auto unread = question.moving ? 0 : question.prompt_tokens;
    loads_.reserve(now + limits_.reservation_time, chosen->id,
                   {1, unread, question.memory_tokens, question.moving ? 1 : 0});
    auto& room = rooms_[question.service];
    room.granted_tokens += static_cast<double>(question.memory_tokens);
    if (question.moving) {
        // Its organisation was charged when it was placed first.
        shares_.remove_request(question.organisation);
    } else {
        shares_.charge(question.organisation, static_cast<double>(question.memory_tokens));
        running_.push_back({now + limits_.assumed_residence, question.organisation});
    }
    if (!question.brief) {
        constexpr double weight = 0.05;
        const auto size = static_cast<double>(question.memory_tokens);
        room.average_tokens += (room.average_tokens == 0 ? 1 : weight) * (size - room.average_tokens);
    } else if (!question.moving) {
        const auto reading = static_cast<std::int64_t>(static_cast<double>(question.prompt_tokens) /
                                                       selection_weights().prompt_tokens_per_ms);
        room.brief.add(now, question.memory_tokens, milliseconds(reading) + limits_.brief_output_time);
    }
    answer(now, asker, {question.request, question.number, placement_verdict::granted, chosen->id});
    return true;
}

void placement_scheduler::refuse(instant now, const waiting_request& value)
{
    placement_response out{value.question.request, value.question.number, placement_verdict::refused, {}};
    if (limits_.order == request_order::cost) {
        const auto turn = forecast(value);
        out.retry_after =
            rooms_[value.question.service].estimator.jittered(std::chrono::duration<double>(turn.wait).count());
        out.requests_before = turn.requests_before;
    }
    answer(now, value.asker, out);
}

void placement_scheduler::answer(instant now, const host_id& asker, const placement_response& value)
{
    answers_[{value.request, value.number}] = {now, value};
    on_answer_(asker, value);
}

} // namespace anvillead
