#include "dispatch/upstream_limits.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

void upstream_limits::update(instant now, const upstream_limit& value)
{
    auto found = entries_.find(value.upstream);
    if (found == entries_.end()) {
        if (value.ended() || entries_.size() >= settings_.max_upstreams || now - value.at > settings_.lifetime) {
            return;
        }
        found = entries_.emplace(value.upstream, entry{}).first;
        found->second.refilled = now;
    } else if (value.at <= found->second.limit.at) {
        return;
    }
    auto& known = found->second;
    refill(now, known);
    const bool changed = known.limit.rate != value.rate || known.limit.tolerated_refusals != value.tolerated_refusals;
    known.limit = value;
    known.available = std::min(known.available, capacity(known));
    if (changed || value.at - known.announced >= settings_.time_tolerance) {
        known.announced = value.at;
        changes_.insert(value.upstream);
    }
    if (value.ended()) {
        closed_until_.erase(value.upstream);
    }
    if (!value.brittle()) {
        known.slots_taken.clear();
        known.no_slots_until = {};
    }
    if (changed && on_change_) {
        on_change_(value);
    }
}

const upstream_limit* upstream_limits::find(const upstream_id& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() || found->second.limit.ended() ? nullptr : &found->second.limit;
}

double upstream_limits::used_rate(const entry& value) const
{
    return std::max(settings_.lowest_rate, value.limit.rate * settings_.used_share);
}

double upstream_limits::capacity(const entry& value) const
{
    return std::max(1.0, used_rate(value) * settings_.burst_s);
}

void upstream_limits::refill(instant now, entry& value) const
{
    const double elapsed = std::chrono::duration<double>(now - value.refilled).count();
    value.refilled = now;
    value.available = std::min(capacity(value), value.available + std::max(0.0, elapsed) * used_rate(value));
}

milliseconds upstream_limits::take(instant now, const upstream_id& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.limit.rate < 0) {
        return take_warmup(now, id);
    }
    auto& value = found->second;
    refill(now, value);
    if (value.available >= 1) {
        const auto wait = take_warmup(now, id);
        value.available -= wait.count() == 0 ? 1 : 0;
        return wait;
    }
    constexpr double ms_per_s = 1000;
    const auto wait = std::ceil((1 - value.available) / used_rate(value) * ms_per_s);
    return std::max(settings_.shortest_wait, milliseconds(static_cast<std::int64_t>(wait)));
}

milliseconds upstream_limits::take_warmup(instant now, const upstream_id& id)
{
    const auto tolerated = warmup_ ? warmup_(now, id) : std::nullopt;
    if (!tolerated) {
        warmups_.erase(id);
        return milliseconds(0);
    }
    const double rate = std::max(settings_.lowest_rate, *tolerated * settings_.warmup_share);
    const double most = std::max(1.0, rate * settings_.warmup_burst_s);
    const auto [found, added] = warmups_.try_emplace(id);
    auto& value = found->second;
    if (!added) {
        const double elapsed = std::chrono::duration<double>(now - value.refilled).count();
        value.available = std::min(most, value.available + std::max(0.0, elapsed) * rate);
    }
    value.refilled = now;
    if (value.available >= 1) {
        value.available -= 1;
        return milliseconds(0);
    }
    constexpr double ms_per_s = 1000;
    const auto wait = std::ceil((1 - value.available) / rate * ms_per_s);
    return std::max(settings_.shortest_wait, milliseconds(static_cast<std::int64_t>(wait)));
}

milliseconds upstream_limits::take_slot(instant now, const upstream_id& id, std::size_t slots)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !found->second.limit.brittle()) {
        return milliseconds(0);
    }
    auto& value = found->second;
    if (now < value.no_slots_until) {
        return std::chrono::ceil<milliseconds>(value.no_slots_until - now);
    }
    auto& taken = value.slots_taken;
    taken.erase(std::remove_if(taken.begin(), taken.end(), [now](instant it) { return it <= now; }), taken.end());
    if (taken.size() >= std::max<std::size_t>(1, slots)) {
        return settings_.slot_wait;
    }
    taken.push_back(now + settings_.slot_lifetime);
    return milliseconds(0);
}

void upstream_limits::release_slot(instant now, const upstream_id& id, bool refused)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    auto& value = found->second;
    if (!value.slots_taken.empty()) {
        value.slots_taken.erase(value.slots_taken.begin());
    }
    if (refused && value.limit.brittle()) {
        const double per_s = std::max(settings_.lowest_refusals, value.limit.tolerated_refusals);
        const std::chrono::duration<double> pause(settings_.refusal_pause_factor / per_s);
        value.no_slots_until = now + std::chrono::duration_cast<milliseconds>(pause);
    }
}

void upstream_limits::close(instant now, const upstream_id& id, milliseconds wait)
{
    if (closed_until_.size() < settings_.max_upstreams || closed_until_.count(id) != 0) {
        closed_until_[id] = now + std::max(wait, settings_.shortest_wait);
    }
}

void upstream_limits::rest(instant now, const upstream_id& id, milliseconds wait)
{
    if (rests_.size() < settings_.max_upstreams || rests_.count(id) != 0) {
        auto& until = rests_[id];
        until = std::max(until, now + wait);
    }
}

bool upstream_limits::resting(instant now, const upstream_id& id) const
{
    const auto found = rests_.find(id);
    return found != rests_.end() && found->second > now;
}

std::vector<upstream_id> upstream_limits::closed(instant now) const
{
    std::vector<upstream_id> out;
    for (const auto& [id, until] : rests_) {
        if (until > now) {
            out.push_back(id);
        }
    }
    for (const auto& [id, until] : closed_until_) {
        if (until > now) {
            out.push_back(id);
        }
    }
    return out;
}

milliseconds upstream_limits::next_opening(instant now) const
{
    auto first = instant::max();
    for (const auto& [id, until] : rests_) {
        first = until > now ? std::min(first, until) : first;
    }
    for (const auto& [id, until] : closed_until_) {
        first = until > now ? std::min(first, until) : first;
    }
    return first == instant::max() ? milliseconds(0) : std::chrono::ceil<milliseconds>(first - now);
}

void upstream_limits::expire(instant now)
{
    for (auto it = rests_.begin(); it != rests_.end();) {
        it = it->second <= now ? rests_.erase(it) : std::next(it);
    }
    for (auto it = closed_until_.begin(); it != closed_until_.end();) {
        it = it->second <= now ? closed_until_.erase(it) : std::next(it);
    }
    for (auto it = warmups_.begin(); it != warmups_.end();) {
        it = warming(now, it->first) ? std::next(it) : warmups_.erase(it);
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = now - it->second.limit.at > settings_.lifetime ? entries_.erase(it) : std::next(it);
    }
}

std::vector<upstream_limit> upstream_limits::take_changes()
{
    std::vector<upstream_limit> out;
    for (const auto& it : std::exchange(changes_, {})) {
        const auto found = entries_.find(it);
        if (found != entries_.end()) {
            out.push_back(found->second.limit);
        }
    }
    return out;
}

std::vector<upstream_limit> upstream_limits::all() const
{
    std::vector<upstream_limit> out;
    for (const auto& [id, value] : entries_) {
        out.push_back(value.limit);
    }
    return out;
}

std::size_t upstream_limits::count() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& it) { return !it.second.limit.ended(); }));
}

} // namespace anvillead
