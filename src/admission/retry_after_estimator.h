#pragma once

#include <cstdint>
#include <random>

#include "core/types/units.h"

namespace anvillead {

/// Measures the throughput of an engine group and computes Retry-After values with jitter.
class retry_after_estimator
{
public:
    explicit retry_after_estimator(std::uint64_t seed) : random_(seed) {}
    /// Called with the tokens that were delivered since the last call. Only a period in which requests waited
    /// throughout shows capacity; any other shows demand, so it can raise the rate but not lower it. `assumed` is the
    /// initial rate in tokens per second; it changes with the number of engines, and the rate is scaled with it.
    void observe_delivery(instant now, double token_count, bool waiting, double assumed);
    /// Tokens per second; `assumed` while no rate is known.
    double rate(double assumed) const { return rate_ > 0 ? rate_ : assumed; }
    /// Spreads callers over [delay, 1.5 * delay], within fixed bounds.
    milliseconds jittered(double delay_s);

private:
    std::mt19937_64 random_;
    double rate_ = 0;
    double assumed_ = 0;
    double pending_ = 0;
    instant last_{};
    bool waited_throughout_ = true;
};

} // namespace anvillead
