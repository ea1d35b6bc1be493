#include "routing/scheduler_absence.h"

#include <algorithm>

namespace anvillead {

namespace {

// Callers come back at least this often, so that they find schedulers that have returned.
constexpr milliseconds longest_delay{30'000};
constexpr double largest_jitter = 1.5;

} // namespace

void scheduler_absence::observe(instant now, const service_name& service, bool reachable)
{
    if (reachable) {
        since_.erase(service);
    } else {
        since_.try_emplace(service, now);
    }
}

std::optional<milliseconds> scheduler_absence::refuse_after(instant now, const service_name& service)
{
    const auto it = since_.find(service);
    if (it == since_.end() || now - it->second < bound_) {
        return std::nullopt;
    }
    const auto absent = std::chrono::duration_cast<milliseconds>(now - it->second);
    std::uniform_real_distribution<double> factor(1, largest_jitter);
    const auto delay = static_cast<double>(std::min(absent, longest_delay).count()) * factor(random_);
    return milliseconds(static_cast<std::int64_t>(delay));
}

} // namespace anvillead
