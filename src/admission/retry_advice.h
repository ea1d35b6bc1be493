#pragma once

#include <cstdint>
#include <random>

#include "core/types/units.h"

namespace anvillead {

/// Computes Retry-After from the rate at which a group delivers tokens, with jitter.
class retry_advice
{
public:
    explicit retry_advice(std::uint64_t seed) : random_(seed) {}
    /// Called with the tokens that were delivered since the last call. Without waiting requests the rate shows demand
    /// and not capacity, so it can only rise.
    void delivered(instant now, double token_count, bool waiting);
    /// Tokens per second; `fallback` until something was delivered.
    double rate(double fallback) const { return known_ ? rate_ : fallback; }
    /// Spreads callers over [delay, 1.5 * delay], within fixed bounds.
    milliseconds jittered(double delay_s);

private:
    std::mt19937_64 random_;
    double rate_ = 0;
    double pending_ = 0;
    instant last_{};
    bool known_ = false;
};

} // namespace anvillead
