#include "routing/scheduler_absence.h"

#include <algorithm>

namespace anvillead {

namespace {

// Limits the Retry-After before jitter, so that callers soon notice that a scheduler is available again.
constexpr milliseconds max_delay{30'000};
constexpr double max_jitter = 1.5;

} // namespace

void scheduler_absence::observe(instant now, const service_name& service, bool reachable)
{
    if (reachable) {
        absent_since_.erase(service);
    } else {
        absent_since_.try_emplace(service, now);
    }
}

std::optional<milliseconds> scheduler_absence::absence_retry_after(instant now, const service_name& service)
{
    const auto it = absent_since_.find(service);
    if (it == absent_since_.end() || now - it->second < wait_limit_) {
        return std::nullopt;
    }
    const auto absent = std::chrono::duration_cast<milliseconds>(now - it->second);
    std::uniform_real_distribution<double> factor(1, max_jitter);
    const auto delay = static_cast<double>(std::min(absent, max_delay).count()) * factor(random_);
    return milliseconds(static_cast<std::int64_t>(delay));
}

} // namespace anvillead
