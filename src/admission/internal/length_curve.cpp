#include "admission/length_curve.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Keeps conditional probabilities defined beyond the longest observed output.
constexpr double min_survival = 1e-12;

double position_of(double length)
{
    return std::clamp(std::log2(std::max(length, 1.0)) * length_curve::bins_per_octave, 0.0,
                      static_cast<double>(length_curve::bins));
}

} // namespace

length_curve::length_curve(const std::vector<double>& hazards) : edges_(bins + 1, 1.0)
{
    for (std::size_t bin = 0; bin < bins; ++bin) {
        edges_[bin + 1] = std::max(edges_[bin] * (1 - hazards[bin]), min_survival);
    }
}

std::size_t length_curve::bin_of(double length)
{
    return std::min(static_cast<std::size_t>(position_of(length)), bins - 1);
}

double length_curve::lower_edge(std::size_t bin)
{
    return std::exp2(static_cast<double>(bin) / bins_per_octave);
}

double length_curve::survival(double length) const
{
    const double position = position_of(length);
    const auto bin = std::min(static_cast<std::size_t>(position), bins - 1);
    const double part = position - static_cast<double>(bin);
    return edges_[bin] + (edges_[bin + 1] - edges_[bin]) * part;
}

double length_curve::survival(double produced, double more) const
{
    return std::min(1.0, survival(produced + more) / survival(produced));
}

remaining_length length_curve::remaining(double produced, double limit) const
{
    remaining_length out;
    if (limit <= produced) {
        return out;
    }
    // E[X] is the integral of the survival function and E[X^2] that of 2x times it, by the trapezoid rule.
    const double base = survival(produced);
    double from = produced;
    double from_survival = 1;
    double square = 0;
    for (std::size_t bin = bin_of(produced); bin < bins && from < limit; ++bin) {
        const double to = std::min(lower_edge(bin + 1), limit);
        if (to <= from) {
            continue;
        }
        const double to_survival = std::min(1.0, survival(to) / base);
        const double area = (to - from) * (from_survival + to_survival) / 2;
        out.mean += area;
        square += 2 * ((from + to) / 2 - produced) * area;
        from = to;
        from_survival = to_survival;
    }
    out.variance = std::max(0.0, square - out.mean * out.mean);
    return out;
}

} // namespace anvillead
