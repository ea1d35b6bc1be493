#include "admission/prefix_hints.h"

#include <algorithm>

namespace anvillead {

prefix_hints::entries::iterator prefix_hints::erase(entries::iterator at)
{
    recent_.erase(at->second.position);
    return entries_.erase(at);
}

bool prefix_hints::remove_hints(entry& value, const upstream_id& engine, instant latest)
{
    auto& hints = value.hints;
    hints.erase(std::remove_if(hints.begin(), hints.end(),
                               [&](const hint& it) { return it.engine == engine && it.recorded_at <= latest; }),
                hints.end());
    return !hints.empty();
}

void prefix_hints::record(instant at, const upstream_id& engine, std::uint64_t prefix)
{
    const auto [it, added] = entries_.try_emplace(prefix);
    if (added) {
        recent_.push_front(prefix);
        it->second.position = recent_.begin();
    } else {
        recent_.splice(recent_.begin(), recent_, it->second.position);
    }
    auto& hints = it->second.hints;
    const auto known = std::find_if(hints.begin(), hints.end(), [&](const hint& of) { return of.engine == engine; });
    if (known != hints.end()) {
        // A late event must not replace a newer placement.
        known->recorded_at = std::max(known->recorded_at, at);
        return;
    }
    hints.push_back({engine, at});
    if (hints.size() > settings_.engines_per_prefix) {
        hints.erase(std::min_element(hints.begin(), hints.end(),
                                     [](const hint& a, const hint& b) { return a.recorded_at < b.recorded_at; }));
    }
    if (entries_.size() > settings_.prefix_limit) {
        erase(entries_.find(recent_.back()));
    }
}

void prefix_hints::evict(instant at, const upstream_id& engine, std::uint64_t prefix)
{
    const auto it = entries_.find(prefix);
    if (it != entries_.end() && !remove_hints(it->second, engine, at)) {
        erase(it);
    }
}

void prefix_hints::remove_engine(const upstream_id& engine)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = remove_hints(it->second, engine, instant::max()) ? std::next(it) : erase(it);
    }
}

double prefix_hints::weight(instant now, const upstream_id& engine, std::uint64_t prefix) const
{
    const auto it = entries_.find(prefix);
    if (it == entries_.end()) {
        return 0;
    }
    for (const auto& at : it->second.hints) {
        if (at.engine == engine) {
            const std::chrono::duration<double> age = now - at.recorded_at;
            return std::clamp(1 - age / std::chrono::duration<double>(settings_.hint_lifetime), 0.0, 1.0);
        }
    }
    return 0;
}

} // namespace anvillead
