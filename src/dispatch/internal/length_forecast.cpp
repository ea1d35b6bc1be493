#include "dispatch/length_forecast.h"

#include <algorithm>

namespace anvillead {

namespace {

// Ratio of the planned length to the caller's estimate. The mean is about 1.4 times the median, but the generations on
// one engine are at different stages, so that their total size stays below the sum of their final sizes.
constexpr double planned_to_estimate_ratio = 1.1;
// Fraction of the output limit that is assumed for an answer without an estimate.
constexpr double default_fraction_of_limit = 0.5;

} // namespace

std::int64_t planned_output(const caller_request& request)
{
    const auto limit = static_cast<double>(request.output_limit);
    const double expected = request.expected_output
                                ? planned_to_estimate_ratio * static_cast<double>(*request.expected_output)
                                : default_fraction_of_limit * limit;
    return static_cast<std::int64_t>(limit > 0 ? std::min(expected, limit) : expected);
}

} // namespace anvillead
