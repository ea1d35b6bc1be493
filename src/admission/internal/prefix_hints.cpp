#include "admission/prefix_hints.h"

#include <algorithm>

namespace anvillead {

prefix_hints::entries::iterator prefix_hints::erase(entries::iterator at)
{
    recent_.erase(at->second.place);
    return entries_.erase(at);
}

bool prefix_hints::remove(entry& value, const upstream_id& engine, instant latest)
{
    auto& hints = value.hints;
    hints.erase(std::remove_if(hints.begin(), hints.end(),
                               [&](const hint& it) { return it.engine == engine && it.noted <= latest; }),
                hints.end());
    return !hints.empty();
}

void prefix_hints::note(instant at, const upstream_id& engine, std::uint64_t prefix)
{
    const auto [it, added] = entries_.try_emplace(prefix);
    if (added) {
        recent_.push_front(prefix);
        it->second.place = recent_.begin();
    } else {
        recent_.splice(recent_.begin(), recent_, it->second.place);
    }
    auto& hints = it->second.hints;
    const auto known = std::find_if(hints.begin(), hints.end(), [&](const hint& of) { return of.engine == engine; });
    if (known != hints.end()) {
        // A late event does not make a newer placement older.
        known->noted = std::max(known->noted, at);
        return;
    }
    hints.push_back({engine, at});
    if (hints.size() > settings_.engines_per_prefix) {
        hints.erase(std::min_element(hints.begin(), hints.end(),
                                     [](const hint& a, const hint& b) { return a.noted < b.noted; }));
    }
    if (entries_.size() > settings_.prefix_limit) {
        erase(entries_.find(recent_.back()));
    }
}

void prefix_hints::evict(instant at, const upstream_id& engine, std::uint64_t prefix)
{
    const auto it = entries_.find(prefix);
    if (it != entries_.end() && !remove(it->second, engine, at)) {
        erase(it);
    }
}

void prefix_hints::forget(const upstream_id& engine)
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = remove(it->second, engine, instant::max()) ? std::next(it) : erase(it);
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
            const std::chrono::duration<double> age = now - at.noted;
            return std::clamp(1 - age / std::chrono::duration<double>(settings_.hint_lifetime), 0.0, 1.0);
        }
    }
    return 0;
}

} // namespace anvillead
