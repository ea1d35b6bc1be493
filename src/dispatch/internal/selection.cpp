#include "dispatch/selection.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

// Cost differences below this are decided by the tie breaker, so that hosts that select at the same time choose
// different upstreams.
constexpr double tie_threshold_ms = 8;

bool is_excluded(const selection_input& input, const upstream_id& id)
{
    return std::find(input.excluded.begin(), input.excluded.end(), id) != input.excluded.end();
}

double tie_break_ms(const upstream_id& id, std::uint64_t tie_breaker)
{
    constexpr std::uint64_t steps = 1024;
    return tie_threshold_ms * static_cast<double>(placement_hash(id.str(), tie_breaker) % steps) / steps;
}

double common_cost(const selection_input& input, const upstream_directory::entry& entry,
                   const selection_weights& weights)
{
    const auto& record = entry.record;
    double out = weights.failure_ms * input.loads->failure_ratio(input.now, record.id);
    if (record.availability_zone != input.own_zone) {
        out += weights.other_zone_ms;
    }
    if (input.directory->is_cold(input.now, entry)) {
        out += weights.cold_ms;
    }
    return out;
}

/// Time that the request takes longer on this engine than on one of usual speed.
double slowness_cost(const selection_input& input, const upstream_id& id, const generation_need& need,
                     const selection_weights& weights)
{
    if (input.speeds == nullptr) {
        return 0;
    }
    constexpr double usual_pace = 100;
    // A faster engine is not preferred to a usual one, or all hosts would meet there.
    const double slowness = std::max(1.0, input.speeds->slowness(id));
    const double pace = static_cast<double>(input.loads->pace_percent(input.now, id)) / usual_pace;
    const double reading = static_cast<double>(need.prompt_tokens) / weights.prompt_tokens_per_ms;
    const double output = static_cast<double>(need.output_tokens) * weights.token_ms;
    return reading * (slowness * pace - 1) + output * (slowness - 1);
}

/// Brief requests that an engine with this work could still run.
std::int64_t free_places(const upstream_work& work, const engine_profile& profile, int slots,
                         const selection_weights& weights)
{
    const double memory = weights.urgent_memory_share * static_cast<double>(profile.memory_tokens);
    const auto by_memory = static_cast<std::int64_t>(memory - static_cast<double>(work.memory_tokens)) /
                           std::max<std::int64_t>(1, weights.place_tokens);
    return std::max<std::int64_t>(0, std::min<std::int64_t>(by_memory, slots - work.active));
}

/// Places for brief requests in the whole service beyond those that have to remain. Negative if there are too few.
std::int64_t spare_place_count(const selection_input& input, const service_profile& service,
                               const engine_profile& profile, const selection_weights& weights)
{
    auto out = -static_cast<std::int64_t>(weights.kept_places);
    for (const auto* it : input.directory->usable(service.name)) {
        if (!is_excluded(input, it->record.id)) {
            out += free_places(input.loads->total(it->record.id), profile, std::max(it->record.slots, profile.slots),
                               weights);
        }
    }
    return out;
}

} // namespace

selection_weights move_weights()
{
    selection_weights out;
    // A copy to another availability zone takes twice as long, and traffic between zones is expensive.
    out.other_zone_ms = 600;
    // Time to copy the memory of one long generation over a link.
    out.copy_ms = 200;
    return out;
}

std::optional<upstream_record> select_engine(const selection_input& input, const service_profile& service,
                                             const generation_need& need, const selection_weights& weights)
{
    const auto profile = service.engine.value_or(engine_profile{});
    const double memory_limit = weights.memory_share * static_cast<double>(profile.memory_tokens);
    const bool keeps_places = weights.kept_places > 0 && weights.place_tokens > 0 && profile.memory_tokens > 0;
    const auto spare_places = keeps_places ? spare_place_count(input, service, profile, weights) : 0;
    std::optional<upstream_record> best;
    double best_cost = 0;
    for (const auto* it : input.directory->usable(service.name)) {
        const auto& record = it->record;
        if (is_excluded(input, record.id)) {
            continue;
        }
        const auto work = input.loads->total(record.id);
        const int slots = std::max(record.slots, profile.slots);
        if (work.active >= slots) {
            continue;
        }
        if (profile.memory_tokens > 0 && static_cast<double>(work.memory_tokens + need.memory_tokens) > memory_limit &&
            work.active > 0) {
            continue;
        }
        if (keeps_places) {
            auto after = work;
            after += {1, 0, need.memory_tokens, 0};
            const auto taken = free_places(work, profile, slots, weights) - free_places(after, profile, slots, weights);
            if (taken > std::max<std::int64_t>(0, spare_places)) {
                continue;
            }
        }
        double cost = common_cost(input, *it, weights);
        cost += static_cast<double>(work.unread_tokens) / weights.prompt_tokens_per_ms;
        cost += weights.active_ms * work.active + weights.copy_ms * work.copies;
        cost += slowness_cost(input, record.id, need, weights);
        cost += tie_break_ms(record.id, need.tie_breaker);
        if (!best || cost < best_cost) {
            best = record;
            best_cost = cost;
        }
    }
    return best;
}

std::optional<upstream_record> select_instance(const selection_input& input, const service_name& service,
                                               std::uint64_t tie_breaker, const selection_weights& weights)
{
    std::optional<upstream_record> best;
    double best_cost = 0;
    for (const auto* it : input.directory->usable(service)) {
        const auto& record = it->record;
        if (is_excluded(input, record.id)) {
            continue;
        }
        const int requests = input.loads->requests(input.now, record.id);
        const double load = static_cast<double>(requests) / std::max(1, record.slots);
        double cost = common_cost(input, *it, weights) + tie_break_ms(record.id, tie_breaker);
        // An upstream hardly slows down until all its slots are in use; further requests are queued.
        cost += weights.plain_call_ms * (load + 3 * std::max(0.0, load - 1));
        if (!best || cost < best_cost) {
            best = record;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace anvillead
