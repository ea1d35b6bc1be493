#include "admission/memory_forecast.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

void memory_forecast::add(const memory_footprint& value, const length_curve& curve)
{
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        const double length = std::min(value.produced + horizons[i], value.limit);
        bound_[i] += value.input + length;
        if (i > 0 && length >= value.limit) {
            continue;
        }
        const double alive = curve.survival(value.produced, horizons[i]);
        const double size = value.input + length;
        mean_[i] += alive * size;
        variance_[i] += alive * (1 - alive) * size * size;
    }
}

double memory_forecast::peak(double z) const
{
    double out = 0;
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        // At short horizons few generations can end, and the normal approximation exceeds the possible growth.
        out = std::max(out, std::min(mean_[i] + z * std::sqrt(variance_[i]), bound_[i]));
    }
    return out;
}

double memory_forecast::overflow(double capacity) const
{
    double out = 0;
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        if (bound_[i] <= capacity) {
            continue;
        }
        const double spread = std::sqrt(variance_[i]);
        const double above = spread > 0 ? std::erfc((capacity - mean_[i]) / (spread * std::sqrt(2.0))) / 2
                                        : (mean_[i] > capacity ? 1.0 : 0.0);
        out = std::max(out, above);
    }
    return out;
}

} // namespace anvillead
