#include "dispatch/length_forecast.h"

#include <algorithm>

namespace anvillead {

namespace {

// Mean of a log-normal length over its median for the spread that the users' workloads show (0.8).
constexpr double mean_over_median = 1.4;
// Part of the limit that an answer without an estimate is expected to use.
constexpr double used_part_of_limit = 0.5;

} // namespace

std::int64_t planned_output(const caller_request& request)
{
    const auto limit = static_cast<double>(request.output_limit);
    const double expected = request.expected_output ? mean_over_median * static_cast<double>(*request.expected_output)
                                                    : used_part_of_limit * limit;
    return static_cast<std::int64_t>(limit > 0 ? std::min(expected, limit) : expected);
}

} // namespace anvillead
