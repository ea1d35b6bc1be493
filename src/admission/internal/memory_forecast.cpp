#include "admission/memory_forecast.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

void memory_forecast::add(const memory_footprint& value, const length_curve& curve)
{
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        const double length = value.produced + horizons[i];
        if (i > 0 && length >= value.limit) {
            break;
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
        out = std::max(out, mean_[i] + z * std::sqrt(variance_[i]));
    }
    return out;
}

} // namespace anvillead
