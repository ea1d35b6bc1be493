#pragma once

#include <string>
#include <utility>
#include <vector>

#include "apps/bench/decisions/measurements.h"

namespace anvillead::bench {

/// Results of all policies on one scenario of one deployment. The first policy is the scheduler's own.
struct scenario_results
{
    std::string scenario;
    std::string deployment;
    std::vector<std::pair<std::string, run_figures>> policies;
    /// The scheduler's own run of the reference, if the scenario has one.
    std::vector<run_figures> reference;
};

std::string as_text(const std::vector<scenario_results>& results);
std::string as_json(const std::vector<scenario_results>& results);

} // namespace anvillead::bench
