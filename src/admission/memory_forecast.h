#pragma once

#include <array>

#include "admission/length_curve.h"
#include "core/types/units.h"

namespace anvillead {

/// Memory use of one generation in tokens, known from its grant and its progress.
struct memory_footprint
{
    double input = 0;
    double produced = 0;
    double limit = 0;
};

/// Forecast of one engine's memory use: mean and variance at several horizons, counted in decode steps. At a horizon, a
/// generation either has grown by that many tokens, up to its limit, or has ended and uses no memory.
class memory_forecast
{
public:
    static constexpr std::array<double, 9> horizons = {0, 32, 64, 128, 256, 512, 1024, 2048, 4096};

    void clear() { *this = {}; }
    void add(const memory_footprint& value, const length_curve& curve);
    double current() const { return mean_.front(); }
    /// Maximum over the horizons of mean + z * standard deviation, bounded by the use if no generation ends.
    double peak(double z) const;
    /// Maximum over the horizons of the probability that the use exceeds `capacity`.
    double overflow(double capacity) const;

private:
    std::array<double, horizons.size()> mean_{};
    std::array<double, horizons.size()> variance_{};
    std::array<double, horizons.size()> bound_{};
};

} // namespace anvillead
