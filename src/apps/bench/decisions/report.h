#pragma once

#include <string>
#include <utility>
#include <vector>

#include "apps/bench/decisions/measurements.h"
#include "apps/bench/decisions/scenario.h"

namespace anvillead::bench {

/// Results of all policies on one scenario of one deployment. The first policy is the production scheduler.
struct scenario_results
{
    std::string scenario;
    std::string deployment;
    std::vector<std::pair<std::string, run_statistics>> policies;
    /// Runs of the production scheduler on variants of the scenario.
    std::vector<std::pair<variant, run_statistics>> references;

    const run_statistics* reference(variant scenario_variant) const;
};

std::string as_text(const std::vector<scenario_results>& results);
std::string as_json(const std::vector<scenario_results>& results);

} // namespace anvillead::bench
