#pragma once

#include <string>
#include <utility>
#include <vector>

#include "apps/bench/decisions/measurements.h"
#include "apps/bench/decisions/scenario.h"

namespace anvillead::bench {

/// Results of all policies on one scenario of one deployment. The first policy is the scheduler's own.
struct scenario_results
{
    std::string scenario;
    std::string deployment;
    std::vector<std::pair<std::string, run_figures>> policies;
    /// The scheduler's own runs of parts of the scenario.
    std::vector<std::pair<variant, run_figures>> references;

    const run_figures* reference(variant part) const;
};

std::string as_text(const std::vector<scenario_results>& results);
std::string as_json(const std::vector<scenario_results>& results);

} // namespace anvillead::bench
