#include "admission/placement.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Lower than `placement_settings::z`: urgent work may use the margin that other classes leave.
constexpr double urgent_z = 1;
// Fraction of the capacity that a scheduler fills after a takeover, before it knows the grants of its predecessor.
constexpr double takeover_fill = 0.5;
constexpr double microseconds_per_ms = 1000;
// Preemptible drafts rank below the drafts of `placement_settings::low_priority_fill`, which are lowered by one step.
constexpr int preemptible_priority_step = 2;

} // namespace

double placement::cost(instant now, const engine_state& target) const
{
    const bool recent = now - target.last_grant < settings_.prompt_window;
    return target.batch() + (recent ? target.recent_prompt_tokens * settings_.generations_per_prompt_token : 0);
}

bool placement::ranks_before(instant now, const engine_state& a, const engine_state& b, work_class served) const
{
    if (served != work_class::urgent && a.short_batch != b.short_batch) {
        return !a.short_batch;
    }
    // Drafts are packed: the fullest engine ranks first.
    if (served == work_class::draft && settings_.pack_drafts) {
        return a.batch() > b.batch();
    }
    return cost(now, a) < cost(now, b);
}

void placement::assign_short_batches(const std::vector<engine_state*>& engines, int urgent_slots) const
{
    int usable = 0;
    for (const auto* it : engines) {
        usable += it->usable ? 1 : 0;
    }
    int short_engines = 0;
    for (const auto* it : engines) {
        short_engines += it->short_batch ? 1 : 0;
    }
    const auto needed = [&](double per_engine) { return static_cast<int>(std::ceil(urgent_slots / per_engine)); };
    const int max_short = static_cast<int>(std::floor(usable * settings_.max_short_fraction));
    const int lower = needed(settings_.urgent_per_engine);
    // Hysteresis, because a change is costly: an engine's drafts must end before its batch is short.
    const int upper = needed(settings_.urgent_per_engine * settings_.short_hysteresis);
    int remaining = std::min(std::clamp(short_engines, lower, upper), max_short);
    // Selects the same engines as long as the group does not change; a newly selected engine would first have to finish
    // its drafts.
    for (auto* it : engines) {
        it->short_batch = it->usable && remaining > 0;
        remaining -= it->short_batch ? 1 : 0;
    }
}

microseconds placement::prompt_time(const grant_request& request) const
{
    const double ms = static_cast<double>(request.input.count) / settings_.bulk_prompt_rate;
    return microseconds(static_cast<std::int64_t>(ms * microseconds_per_ms));
}

bool placement::accepts_class(const engine_state& target, work_class served) const
{
    const bool bulk = !target.short_batch || settings_.short_batch_bulk_limit > 0;
    return target.usable && (served == work_class::urgent || bulk);
}

bool placement::can_accept(instant now, const engine_state& target, const grant_request& request, work_class served,
                           required_headroom headroom) const
{
    const int limit = target.settings.batch_limit;
    const int reserved_slots =
        headroom.slots && served != work_class::urgent ? static_cast<int>(limit * settings_.slot_headroom) : 0;
    if (!accepts_class(target, served) || target.batch() >= limit - reserved_slots) {
        return false;
    }
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), target.settings.id) != excluded.end()) {
        return false;
    }
    if (served == work_class::urgent) {
        return true;
    }
    if (now < target.bulk_prompts_done &&
        target.bulk_prompts_done + prompt_time(request) > now + microseconds(settings_.bulk_prompt_window)) {
        return false;
    }
    return !target.short_batch || target.batch() - target.urgent < settings_.short_batch_bulk_limit;
}

bool placement::fits_memory(instant now, const engine_state& target, const grant_request& request, work_class served,
                            const length_curve& curve, required_headroom headroom) const
{
    const double capacity = target.capacity();
    const memory_footprint added{static_cast<double>(request.input.count), 0,
                                 static_cast<double>(request.output_limit.count)};
    const double external_tokens = target.external.tokens_at(now, capacity);
    memory_forecast sum = target.forecast;
    sum.add(added, curve);
    const bool urgent = served == work_class::urgent;
    const double z = urgent ? urgent_z : settings_.z;
    const double bulk_fill = headroom.memory ? settings_.over_share_fill : settings_.max_fill;
    const double fill = target.in_takeover ? takeover_fill : (urgent ? settings_.max_fill : bulk_fill);
    if (headroom.allow_preemption && !target.in_takeover) {
        memory_forecast non_preemptible_forecast = target.non_preemptible_forecast;
        non_preemptible_forecast.add(added, curve);
        // The current use plus the prompt must still fit: an engine preempts for growth, not for a waiting prompt.
        return std::max(non_preemptible_forecast.peak(z), sum.current()) + external_tokens <= capacity * fill;
    }
    return sum.peak(z) + external_tokens <= capacity * fill;
}

void placement::prefer_prefix(instant now, std::vector<engine_state*>& eligible, const grant_request& request,
                              work_class served) const
{
    if (!settings_.affinity.enabled || eligible.empty()) {
        return;
    }
    std::vector<affinity_candidate> candidates;
    candidates.reserve(eligible.size());
    for (const auto* it : eligible) {
        // Short-batch engines remain the last choice of other classes.
        if (served == work_class::urgent || it->short_batch == eligible.front()->short_batch) {
            candidates.push_back({it->settings.id, cost(now, *it)});
        }
    }
    const auto first = affinity_.preferred(now, candidates, request.prefix_hash, request.input, served,
                                           settings_.generations_per_prompt_token);
    std::vector<engine_state*> order;
    order.reserve(eligible.size());
    for (const auto index : first) {
        order.push_back(eligible[index]);
    }
    for (auto* it : eligible) {
        if (std::find(order.begin(), order.end(), it) == order.end()) {
            order.push_back(it);
        }
    }
    eligible = std::move(order);
}

engine_state* placement::choose(instant now, const std::vector<engine_state*>& engines, const grant_request& request,
                                work_class served, const length_curve& curve, required_headroom headroom) const
{
    const auto& excluded = request.excluded;
    const bool none_left = std::none_of(engines.begin(), engines.end(), [&](const engine_state* it) {
        return accepts_class(*it, served) &&
               std::find(excluded.begin(), excluded.end(), it->settings.id) == excluded.end();
    });
    if (none_left && !excluded.empty()) {
        // All engines that accept the class are excluded: retry on one of them rather than wait for ever.
        auto unrestricted = request;
        unrestricted.excluded.clear();
        return choose(now, engines, unrestricted, served, curve, headroom);
    }
    std::vector<engine_state*> eligible;
    for (auto* it : engines) {
        if (can_accept(now, *it, request, served, headroom)) {
            eligible.push_back(it);
        }
    }
    std::stable_sort(eligible.begin(), eligible.end(),
                     [&](const engine_state* a, const engine_state* b) { return ranks_before(now, *a, *b, served); });
    prefer_prefix(now, eligible, request, served);
    for (auto* it : eligible) {
        if (fits_memory(now, *it, request, served, curve, headroom)) {
            return it;
        }
    }
    return nullptr;
}

void placement::record_grant(instant now, engine_state& target, const grant_request& request, work_class served)
{
    if (now - target.last_grant >= settings_.prompt_window) {
        target.recent_prompt_tokens = 0;
    }
    target.recent_prompt_tokens += static_cast<double>(request.input.count);
    target.last_grant = now;
    if (served != work_class::urgent) {
        target.bulk_prompts_done = std::max(now, target.bulk_prompts_done) + prompt_time(request);
    }
    affinity_.record_placement(now, target.settings.id, request.prefix_hash);
}

void placement::observe_load(instant now, const engine_load& load)
{
    affinity_.observe(now - load.lag, load.engine, load.cache_events);
}

double placement::expected_preemptions(instant now, const engine_state& target, const grant_request& request,
                                       const length_curve& curve) const
{
    const double capacity = target.capacity();
    memory_forecast sum = target.forecast;
    sum.add({static_cast<double>(request.input.count), 0, static_cast<double>(request.output_limit.count)}, curve);
    return sum.overflow(capacity - target.external.tokens_at(now, capacity));
}

int placement::priority(instant now, const engine_state& target, work_class served, bool preemptible) const
{
    const int base = static_cast<int>(served);
    if (served != work_class::draft) {
        return base;
    }
    if (preemptible) {
        return base + preemptible_priority_step;
    }
    const double used = target.forecast.current() + target.external.tokens_at(now, target.capacity());
    return used > target.capacity() * settings_.low_priority_fill ? base + 1 : base;
}

} // namespace anvillead
