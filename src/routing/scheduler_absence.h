#pragma once

#include <map>
#include <optional>
#include <random>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Tracks for how long a gateway has had no link to any scheduler of each service. Sans-I/O.
class scheduler_absence
{
public:
    /// Requests are refused after `wait_limit` without a link. It must exceed the time of a scheduler takeover.
    scheduler_absence(milliseconds wait_limit, std::uint64_t seed) : wait_limit_(wait_limit), random_(seed) {}

    void observe(instant now, const service_name& service, bool reachable);
    /// Returns the Retry-After of a refusal once the service has had no scheduler for the wait limit: the time so far,
    /// at most 30 s, times a random factor between 1 and 1.5. Empty while requests should wait.
    std::optional<milliseconds> absence_retry_after(instant now, const service_name& service);

private:
    milliseconds wait_limit_;
    std::mt19937_64 random_;
    std::map<service_name, instant> absent_since_;
};

} // namespace anvillead
