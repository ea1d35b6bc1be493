#include "admission/organisation_limiter.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Capacity of a bucket in seconds of its rate, so that the requests of one second may arrive in a burst.
constexpr double burst_s = 2;

} // namespace

void organisation_limiter::bucket::fill(instant now)
{
    const double passed = std::chrono::duration<double>(now - filled).count();
    level = std::min(capacity, level + rate * passed);
    filled = now;
}

milliseconds organisation_limiter::bucket::until(double required_level) const
{
    return milliseconds(static_cast<std::int64_t>(std::ceil((required_level - level) / rate * 1000)));
}

void organisation_limiter::configure(instant now, bucket& value, double rate, double min_capacity)
{
    if (value.rate == rate) {
        return;
    }
    const double capacity = std::max(rate * burst_s, min_capacity);
    if (value.rate <= 0) {
        value = {rate, capacity, capacity, now};
        return;
    }
    value.fill(now);
    value = {rate, capacity * value.level / value.capacity, capacity, now};
}

void organisation_limiter::configure(instant now, const organisation_id& id, const organisation_limits& limits,
                                     double share)
{
    auto& it = entries_[id];
    // The capacity is at least one request; otherwise a rate below one request per burst would let none through.
    configure(now, it.requests, limits.requests_per_second * share, 1);
    configure(now, it.tokens, limits.tokens_per_second * share, 0);
}

std::optional<milliseconds> organisation_limiter::take_request(instant now, const organisation_id& id, double part)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    auto& [requests, volume] = found->second;
    if (volume.rate > 0) {
        volume.fill(now);
        if (volume.level <= 0) {
            return volume.until(1);
        }
    }
    if (requests.rate > 0) {
        requests.fill(now);
        if (requests.level < part) {
            return requests.until(part);
        }
        requests.level -= part;
    }
    return std::nullopt;
}

void organisation_limiter::adjust_request(instant now, const organisation_id& id, double part)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.requests.rate <= 0) {
        return;
    }
    auto& requests = found->second.requests;
    requests.fill(now);
    requests.level = std::min(requests.capacity, requests.level - part);
}

void organisation_limiter::charge(instant now, const organisation_id& id, double tokens)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.tokens.rate <= 0) {
        return;
    }
    found->second.tokens.fill(now);
    found->second.tokens.level -= tokens;
}

} // namespace anvillead
