#pragma once

#include <array>

#include "admission/length_curve.h"
#include "core/types/units.h"

namespace anvillead {

/// Memory of one generation, as known from its grant and its progress.
struct memory_footprint
{
    double input = 0;
    double produced = 0;
    double limit = 0;
};

/// Forecast of one engine's memory use: mean and variance at several horizons, counted in decode steps. A generation
/// either has grown by the horizon or has ended and holds nothing.
class memory_forecast
{
public:
    static constexpr std::array<double, 9> horizons = {0, 32, 64, 128, 256, 512, 1024, 2048, 4096};

    void clear() { *this = {}; }
    void add(const memory_footprint& value, const length_curve& curve);
    double current() const { return mean_.front(); }
    /// Largest mean + z * standard deviation over the horizons, or the use if nothing ended by then, if that is less.
    double peak(double z) const;
    /// Largest probability over the horizons that the use exceeds `capacity`.
    double overflow(double capacity) const;

private:
    std::array<double, horizons.size()> mean_{};
    std::array<double, horizons.size()> variance_{};
    std::array<double, horizons.size()> bound_{};
};

} // namespace anvillead
