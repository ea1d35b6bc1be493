#include "admission/placement.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Urgent work may use the margin that other classes leave.
constexpr double urgent_z = 1;
// Part of the capacity that a new scheduler fills before it knows the grants of its predecessor.
constexpr double cautious_fill = 0.5;
constexpr double microseconds_per_ms = 1000;
// Drafts that give way come after those of `placement_settings::low_priority_fill`, which take one step.
constexpr int gives_way_step = 2;

} // namespace

double placement::cost(instant now, const engine_state& target) const
{
    const bool recent = now - target.last_grant < settings_.prompt_window;
    return target.batch() + (recent ? target.recent_prompt * settings_.generations_per_prompt_token : 0);
}

bool placement::better(instant now, const engine_state& a, const engine_state& b, work_class served) const
{
    if (served != work_class::urgent && a.short_batch != b.short_batch) {
        return !a.short_batch;
    }
    // Drafts are packed: the fullest engine that still has room is first.
    if (served == work_class::draft && settings_.pack) {
        return a.batch() > b.batch();
    }
    return cost(now, a) < cost(now, b);
}

void placement::assign_short(const std::vector<engine_state*>& engines, int urgent_slots) const
{
    int usable = 0;
    for (const auto* it : engines) {
        usable += it->usable ? 1 : 0;
    }
    int now_short = 0;
    for (const auto* it : engines) {
        now_short += it->short_batch ? 1 : 0;
    }
    const auto needed = [&](double per_engine) { return static_cast<int>(std::ceil(urgent_slots / per_engine)); };
    const int most = static_cast<int>(std::floor(usable * settings_.largest_short_part));
    const int low = needed(settings_.urgent_per_engine);
    // A mark that moves is costly: the engine's drafts must end before it is short.
    const int high = needed(settings_.urgent_per_engine * settings_.short_hysteresis);
    int rest = std::min(std::clamp(now_short, low, high), most);
    // The same engines stay short while the group does not change; moving the mark would wait for their drafts to end.
    for (auto* it : engines) {
        it->short_batch = it->usable && rest > 0;
        rest -= it->short_batch ? 1 : 0;
    }
}

microseconds placement::prompt_time(const grant_request& request) const
{
    const double ms = static_cast<double>(request.input.count) / settings_.bulk_prompt_rate;
    return microseconds(static_cast<std::int64_t>(ms * microseconds_per_ms));
}

bool placement::takes_class(const engine_state& target, work_class served) const
{
    const bool bulk = !target.short_batch || settings_.short_batch_bulk > 0;
    return target.usable && (served == work_class::urgent || bulk);
}

bool placement::open_to(instant now, const engine_state& target, const grant_request& request, work_class served,
                        room_for_others room) const
{
    const int limit = target.settings.batch_limit;
    const int kept = room.slots && served != work_class::urgent ? static_cast<int>(limit * settings_.slot_room) : 0;
    if (!takes_class(target, served) || target.batch() >= limit - kept) {
        return false;
    }
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), target.settings.id) != excluded.end()) {
        return false;
    }
    if (served == work_class::urgent) {
        return true;
    }
    if (now < target.next_bulk &&
        target.next_bulk + prompt_time(request) > now + microseconds(settings_.bulk_prompt_window)) {
        return false;
    }
    return !target.short_batch || target.batch() - target.urgent < settings_.short_batch_bulk;
}

bool placement::fits(instant now, const engine_state& target, const grant_request& request, work_class served,
                     const length_curve& curve, room_for_others room) const
{
    const double capacity = target.capacity();
    const memory_footprint added{static_cast<double>(request.input.count), 0,
                                 static_cast<double>(request.output_limit.count)};
    const double unknown = target.unknown.tokens_at(now, capacity);
    memory_forecast sum = target.forecast;
    sum.add(added, curve);
    const bool urgent = served == work_class::urgent;
    const double z = urgent ? urgent_z : settings_.z;
    const double bulk_fill = room.memory ? settings_.ahead_fill : settings_.fill;
    const double fill = target.cautious ? cautious_fill : (urgent ? settings_.fill : bulk_fill);
    if (room.pushes && !target.cautious) {
        memory_forecast firm = target.firm;
        firm.add(added, curve);
        // What the engine holds now must still fit: it preempts for growth, not for a prompt that waits.
        return std::max(firm.peak(z), sum.current()) + unknown <= capacity * fill;
    }
    return sum.peak(z) + unknown <= capacity * fill;
}

void placement::prefer_prefix(instant now, std::vector<engine_state*>& open, const grant_request& request,
                              work_class served) const
{
    if (!settings_.affinity.enabled || open.empty()) {
        return;
    }
    std::vector<affinity_candidate> candidates;
    candidates.reserve(open.size());
    for (const auto* it : open) {
        // Engines kept short stay the last choice of other classes.
        if (served == work_class::urgent || it->short_batch == open.front()->short_batch) {
            candidates.push_back({it->settings.id, cost(now, *it)});
        }
    }
    const auto first = affinity_.preferred(now, candidates, request.prefix_hash, request.input, served,
                                           settings_.generations_per_prompt_token);
    std::vector<engine_state*> order;
    order.reserve(open.size());
    for (const auto index : first) {
        order.push_back(open[index]);
    }
    for (auto* it : open) {
        if (std::find(order.begin(), order.end(), it) == order.end()) {
            order.push_back(it);
        }
    }
    open = std::move(order);
}

engine_state* placement::choose(instant now, const std::vector<engine_state*>& engines, const grant_request& request,
                                work_class served, const length_curve& curve, room_for_others room) const
{
    const auto& excluded = request.excluded;
    const bool none_left = std::none_of(engines.begin(), engines.end(), [&](const engine_state* it) {
        return takes_class(*it, served) &&
               std::find(excluded.begin(), excluded.end(), it->settings.id) == excluded.end();
    });
    if (none_left && !excluded.empty()) {
        // An engine that failed the request before is better than a wait for one that does not exist.
        auto any = request;
        any.excluded.clear();
        return choose(now, engines, any, served, curve, room);
    }
    std::vector<engine_state*> open;
    for (auto* it : engines) {
        if (open_to(now, *it, request, served, room)) {
            open.push_back(it);
        }
    }
    std::stable_sort(open.begin(), open.end(),
                     [&](const engine_state* a, const engine_state* b) { return better(now, *a, *b, served); });
    prefer_prefix(now, open, request, served);
    for (auto* it : open) {
        if (fits(now, *it, request, served, curve, room)) {
            return it;
        }
    }
    return nullptr;
}

void placement::granted(instant now, engine_state& target, const grant_request& request, work_class served)
{
    if (now - target.last_grant >= settings_.prompt_window) {
        target.recent_prompt = 0;
    }
    target.recent_prompt += static_cast<double>(request.input.count);
    target.last_grant = now;
    if (served != work_class::urgent) {
        target.next_bulk = std::max(now, target.next_bulk) + prompt_time(request);
    }
    affinity_.placed(now, target.settings.id, request.prefix_hash);
}

void placement::reported(instant now, const engine_load& load)
{
    affinity_.observe(now - load.lag, load.engine, load.cache_events);
}

double placement::expected_preemptions(instant now, const engine_state& target, const grant_request& request,
                                       const length_curve& curve) const
{
    const double capacity = target.capacity();
    memory_forecast sum = target.forecast;
    sum.add({static_cast<double>(request.input.count), 0, static_cast<double>(request.output_limit.count)}, curve);
    return sum.overflow(capacity - target.unknown.tokens_at(now, capacity));
}

int placement::priority(instant now, const engine_state& target, work_class served, bool gives_way) const
{
    const int base = static_cast<int>(served);
    if (served != work_class::draft) {
        return base;
    }
    if (gives_way) {
        return base + gives_way_step;
    }
    const double used = target.forecast.current() + target.unknown.tokens_at(now, target.capacity());
    return used > target.capacity() * settings_.low_priority_fill ? base + 1 : base;
}

} // namespace anvillead
