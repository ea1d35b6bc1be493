#include "dispatch/upstream_paths.h"

#include <algorithm>

namespace anvillead {

void upstream_paths::record_reached(instant started, const service_name& service, const upstream_id& upstream,
                                    std::size_t usable)
{
    const auto found = states_.find(service);
    if (found == states_.end() || started < found->second.first_failure) {
        return;
    }
    auto& state = found->second;
    state.reached.insert(upstream);
    const bool was_lost = state.lost;
    if (was_lost && state.reached.size() < std::min(settings_.reached, usable)) {
        return;
    }
    states_.erase(found);
    if (was_lost && hooks_.on_restored) {
        hooks_.on_restored(service);
    }
}

void upstream_paths::record_unreachable(instant now, const service_name& service, const upstream_id& upstream,
                                        std::size_t usable)
{
    auto& state = states_[service];
    if (!state.lost && now - state.last_failure > settings_.window) {
        state = {};
    }
    if (state.first_failure == instant{}) {
        state.first_failure = now;
    }
    state.failed.insert(upstream);
    state.reached.erase(upstream);
    state.last_failure = now;
    const auto needed = std::max<std::size_t>(1, std::min(settings_.unreachable, usable));
    if (!state.lost && state.failed.size() >= needed) {
        state.lost = true;
        if (hooks_.on_lost) {
            hooks_.on_lost(service);
        }
    }
}

void upstream_paths::record_doubt(instant now, const service_name& service)
{
    auto& state = states_[service];
    if (state.first_failure == instant{}) {
        state.first_failure = now;
        state.last_failure = now;
    }
}

bool upstream_paths::lost(const service_name& service) const
{
    const auto found = states_.find(service);
    return found != states_.end() && found->second.lost;
}

bool upstream_paths::any_lost() const
{
    return std::any_of(states_.begin(), states_.end(), [](const auto& it) { return it.second.lost; });
}

std::vector<service_name> upstream_paths::doubtful() const
{
    std::vector<service_name> out;
    for (const auto& [service, state] : states_) {
        out.push_back(service);
    }
    return out;
}

std::vector<upstream_id> upstream_paths::due_probes(instant now, const service_name& service,
                                                    const std::vector<upstream_id>& usable)
{
    const auto found = states_.find(service);
    if (found == states_.end() || usable.empty() || now - found->second.first_failure < settings_.doubt_time ||
        (found->second.last_probe != instant{} && now - found->second.last_probe < settings_.probe_period)) {
        return {};
    }
    auto& state = found->second;
    state.last_probe = now;
    std::vector<upstream_id> out;
    for (std::size_t i = 0; i < usable.size() && out.size() < settings_.probes; ++i) {
        const auto& candidate = usable[(state.next_probe + i) % usable.size()];
        // Before the path is lost, a probe of an upstream that has failed already would tell nothing new.
        if (state.lost || state.failed.count(candidate) == 0) {
            out.push_back(candidate);
        }
    }
    state.next_probe = (state.next_probe + out.size()) % usable.size();
    return out;
}

void upstream_paths::expire(instant now)
{
    for (auto it = states_.begin(); it != states_.end();) {
        const bool over = !it->second.lost && now - it->second.last_failure > settings_.window;
        it = over ? states_.erase(it) : std::next(it);
    }
}

} // namespace anvillead
