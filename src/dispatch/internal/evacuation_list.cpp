#include "dispatch/evacuation_list.h"

#include <algorithm>
#include <vector>

namespace anvillead {

namespace {

/// Whether a name consists of letters, digits, dots, hyphens and underscores, as those of operators do.
bool is_plain(const zone_name& zone)
{
    const auto& text = zone.str();
    return std::all_of(text.begin(), text.end(), [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') || it == '.' ||
               it == '-' || it == '_';
    });
}

} // namespace

bool evacuation_list::replace(instant now, const evacuation_state& value)
{
    if (!state_.revision.unset() && value.revision < state_.revision) {
        return false;
    }
    const bool new_era = !state_.revision.unset() && value.revision.era() > state_.revision.era();
    auto held = value.held;
    if (new_era) {
        const auto before = in_force();
        held.insert(before.begin(), before.end());
        suppressed_.clear();
        for (const auto& [zone, at] : ended_) {
            if (value.listed.count(zone) != 0) {
                suppressed_.insert(zone);
            }
        }
    }
    if (new_era || (!held.empty() && state_.held.empty())) {
        restore_until_ = now + limits_.restore_time;
    }
    state_.revision = value.revision;
    state_.held = std::move(held);
    set_listed(now, value.listed);
    return true;
}

void evacuation_list::apply(instant now, const zone_name& zone, bool evacuated, store_revision revision)
{
    if (revision < state_.revision) {
        return;
    }
    state_.revision = revision;
    state_.held.erase(zone);
    suppressed_.erase(zone);
    auto zones = state_.listed;
    if (evacuated) {
        zones.insert(zone);
    } else {
        zones.erase(zone);
    }
    set_listed(now, std::move(zones));
}

void evacuation_list::set_listed(instant now, std::set<zone_name> zones)
{
    ignored_ = zones.size() - std::min(zones.size(), limits_.max_zones);
    zones = bounded(std::move(zones));
    for (const auto& it : state_.listed) {
        if (zones.count(it) == 0 && state_.held.count(it) == 0) {
            ended_[it] = now;
        }
    }
    for (const auto& it : zones) {
        if (suppressed_.count(it) == 0) {
            ended_.erase(it);
        }
    }
    state_.listed = std::move(zones);
}

std::set<zone_name> evacuation_list::bounded(std::set<zone_name> zones) const
{
    if (zones.size() <= limits_.max_zones) {
        return zones;
    }
    const auto used = zones_in_use_ ? zones_in_use_() : std::set<zone_name>();
    // A host that has just started may not know all zones of the fleet yet.
    const auto rank = [&](const zone_name& it) { return used.count(it) != 0 ? 0 : is_plain(it) ? 1 : 2; };
    std::vector<zone_name> order(zones.begin(), zones.end());
    std::stable_sort(order.begin(), order.end(),
                     [&](const zone_name& a, const zone_name& b) { return rank(a) < rank(b); });
    return {order.begin(), order.begin() + static_cast<std::ptrdiff_t>(limits_.max_zones)};
}

void evacuation_list::expire(instant now)
{
    for (auto it = ended_.begin(); it != ended_.end();) {
        it = now - it->second > limits_.end_retention ? ended_.erase(it) : std::next(it);
    }
    if (now >= restore_until_) {
        state_.held.clear();
        suppressed_.clear();
    }
}

std::set<zone_name> evacuation_list::in_force() const
{
    auto out = state_.held;
    std::set_difference(state_.listed.begin(), state_.listed.end(), suppressed_.begin(), suppressed_.end(),
                        std::inserter(out, out.end()));
    return out;
}

} // namespace anvillead
