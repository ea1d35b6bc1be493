#pragma once

#include <map>
#include <optional>
#include <random>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// How long a gateway has been without a link to any scheduler of a service. Sans-I/O.
class scheduler_absence
{
public:
    /// Requests are refused after `bound` without a link. It must exceed the time until another scheduler takes over.
    scheduler_absence(milliseconds bound, std::uint64_t seed) : bound_(bound), random_(seed) {}

    void observe(instant now, const service_name& service, bool reachable);
    /// The Retry-After of a refusal once the service has been without a scheduler for the bound: the absence so far, at
    /// most 30 s, times 1 to 1.5 at random. Nothing while requests should wait.
    std::optional<milliseconds> refuse_after(instant now, const service_name& service);

private:
    milliseconds bound_;
    std::mt19937_64 random_;
    std::map<service_name, instant> since_;
};

} // namespace anvillead
