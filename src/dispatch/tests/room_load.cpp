#include "dispatch/tests/room_load.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr std::int64_t engine_memory = 26'880;
constexpr int engine_slots = 24;
constexpr milliseconds tick{8};
constexpr milliseconds start_margin{400};
constexpr milliseconds fixed_retry_after{300};
constexpr double prompt_tokens_per_ms = 7;
constexpr int capacity_wait_divisor = 8;
constexpr double largest_share = 0.9;

const service_name service("engines");
const zone_name zone("z");

scheduler_limits limits_of(request_order order)
{
    scheduler_limits out;
    out.order = order;
    return out;
}

milliseconds reading_time(std::int64_t tokens)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(tokens) / prompt_tokens_per_ms));
}

} // namespace

room_load::room_load(options value, std::vector<load_kind> kinds)
    : options_(value), kinds_(std::move(kinds)), random_(value.seed),
      scheduler_(
          directory_, loads_, [this](const service_name&) { return &profile_; },
          [this](const host_id&, const placement_response& it) { on_answer(it); }, limits_of(value.order))
{
    profile_.name = service;
    profile_.engine = engine_profile{engine_slots, engine_memory, 4, true};
    for (int i = 0; i < options_.engines; ++i) {
        add_engine();
    }
    for (const auto& it : kinds_) {
        next_arrival_.push_back(begin_ + it.from);
        results_[it.name];
    }
    next_leave_ = begin_ + options_.leave_interval;
}

void room_load::add_engine()
{
    upstream_record record;
    record.id = upstream_id(fmt::format("e{}", ++last_engine_));
    record.service = service;
    record.availability_zone = zone;
    record.slots = engine_slots;
    directory_.apply(now_, record);
}

std::map<std::string, load_result> room_load::run()
{
    // Generations that are open at the end are served.
    for (const auto end = begin_ + options_.length; now_ < end; now_ += tick) {
        loads_.expire(now_);
        end_generations();
        change_engines();
        arrive(now_ + tick);
        while (!returns_.empty() && returns_.begin()->first <= now_) {
            const auto id = returns_.begin()->second;
            returns_.erase(returns_.begin());
            ask(id);
        }
        scheduler_.look(now_);
    }
    return results_;
}

void room_load::arrive(instant until)
{
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
        const auto& kind = kinds_[i];
        std::exponential_distribution<double> gap(kind.per_second);
        while (next_arrival_[i] < until && next_arrival_[i] < begin_ + kind.to) {
            const double size = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
            request value;
            value.kind = i;
            value.prompt_tokens = static_cast<std::int64_t>(size * static_cast<double>(kind.prompt_tokens));
            value.memory_tokens = static_cast<std::int64_t>(size * static_cast<double>(kind.memory_tokens));
            value.run_time = milliseconds(static_cast<std::int64_t>(size * static_cast<double>(kind.run_time.count())));
            value.largest = size > 0.5 + largest_share;
            value.first_asked = now_;
            const auto id = fmt::format("r{}", requests_.size() + 1);
            auto& result = result_of(value);
            ++result.asked;
            result.largest_asked += value.largest ? 1 : 0;
            requests_[id] = value;
            ask(id);
            next_arrival_[i] +=
                std::chrono::duration_cast<instant::duration>(std::chrono::duration<double>(gap(random_)));
        }
    }
}

void room_load::ask(const std::string& id)
{
    auto& value = requests_.at(id);
    const auto& kind = kinds_[value.kind];
    value.asked = now_;
    placement_request question;
    question.request = request_id(id);
    question.number = ++last_number_;
    question.service = service;
    question.organisation = organisation_id(kind.organisation);
    question.availability_zone = zone;
    question.priority = kind.priority;
    question.prompt_tokens = value.prompt_tokens;
    question.memory_tokens = value.memory_tokens;
    question.brief = kind.brief;
    question.moving = value.moving;
    if (value.moving) {
        question.excluded = {upstream_id(value.engine)};
        question.produced_tokens = std::chrono::duration_cast<milliseconds>(now_ - value.started).count();
        question.patience = options_.short_waits ? milliseconds(0) : options_.notice - options_.copy_time;
    } else if (options_.short_waits) {
        question.patience = kind.objective / capacity_wait_divisor;
    } else {
        const auto useful = kind.objective - reading_time(value.prompt_tokens) - start_margin;
        const auto left = useful - std::chrono::duration_cast<milliseconds>(now_ - value.first_asked);
        question.late = left.count() <= 0;
        question.patience = std::max(question.late ? useful : left, kind.objective / capacity_wait_divisor);
    }
    scheduler_.ask(now_, host_id("h"), question);
}

void room_load::on_answer(const placement_response& answer)
{
    const auto id = answer.request.str();
    auto& value = requests_.at(id);
    if (answer.verdict == placement_verdict::granted) {
        start(id, answer.engine);
        return;
    }
    if (answer.verdict != placement_verdict::refused) {
        return;
    }
    if (value.moving) {
        // Tried again until the engine has gone.
        if (leaving_until_.count(value.engine) != 0) {
            returns_.emplace(now_ + milliseconds(40), id);
        }
        return;
    }
    auto& result = result_of(value);
    if (++value.tries > 1) {
        ++result.refused;
        ++result.refused_again;
        return;
    }
    const auto wait = answer.retry_after.count() > 0 ? answer.retry_after : fixed_retry_after;
    returns_.emplace(now_ + wait, id);
}

void room_load::start(const std::string& id, const upstream_id& engine)
{
    auto& value = requests_.at(id);
    const upstream_work work{1, 0, value.memory_tokens, 0};
    auto& result = result_of(value);
    if (value.moving) {
        loads_.subtract(upstream_id(value.engine), work);
        value.moving = false;
        ++result.moved;
    } else {
        const auto waited = std::chrono::duration_cast<milliseconds>(now_ - value.first_asked);
        const auto kind = kinds_[value.kind];
        result.waited_ms += static_cast<double>(waited.count());
        const bool in_time = waited + reading_time(value.prompt_tokens) + start_margin <= kind.objective;
        (in_time ? result.in_time : result.late) += 1;
        result.largest_served += value.largest ? 1 : 0;
        value.started = now_;
        value.ends_at = now_ + value.run_time;
    }
    value.engine = engine.str();
    loads_.add(engine, work);
}

void room_load::end_generations()
{
    for (auto& [id, value] : requests_) {
        if (value.engine.empty()) {
            continue;
        }
        const auto leaving = leaving_until_.find(value.engine);
        const bool gone = leaving != leaving_until_.end() && now_ >= leaving->second;
        if (now_ < value.ends_at && !gone) {
            continue;
        }
        loads_.subtract(upstream_id(value.engine), {1, 0, value.memory_tokens, 0});
        value.engine.clear();
        if (now_ < value.ends_at) {
            auto& result = result_of(value);
            ++result.cut;
            (result.in_time > 0 ? result.in_time : result.late) -= 1;
        }
    }
}

void room_load::change_engines()
{
    for (auto it = leaving_until_.begin(); it != leaving_until_.end();) {
        it = now_ >= it->second ? leaving_until_.erase(it) : std::next(it);
    }
    for (auto it = replacements_.begin(); it != replacements_.end();) {
        if (now_ < *it) {
            ++it;
            continue;
        }
        add_engine();
        it = replacements_.erase(it);
    }
    if (options_.leave_interval.count() == 0 || now_ < next_leave_) {
        return;
    }
    next_leave_ += options_.leave_interval;
    auto usable = directory_.usable(service);
    std::shuffle(usable.begin(), usable.end(), random_);
    std::vector<std::string> names;
    for (int i = 0; i < options_.leaving && i < static_cast<int>(usable.size()); ++i) {
        names.push_back(usable[static_cast<std::size_t>(i)]->record.id.str());
    }
    for (const auto& it : names) {
        directory_.mark_leaving(now_, upstream_id(it));
        leaving_until_[it] = now_ + options_.notice;
        replacements_.push_back(now_ + options_.replaced_after);
    }
    for (auto& [id, value] : requests_) {
        if (std::find(names.begin(), names.end(), value.engine) != names.end() && !value.moving) {
            value.moving = true;
            returns_.emplace(now_, id);
        }
    }
}

} // namespace anvillead
