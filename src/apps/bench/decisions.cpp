#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include "admission/scheduler_core.h"
#include "apps/bench/commands.h"
#include "apps/bench/decisions/baseline.h"
#include "apps/bench/decisions/report.h"
#include "apps/bench/decisions/simulation.h"

namespace anvillead {

namespace {

using namespace bench;

constexpr unsigned seeds_per_run = 3;
constexpr unsigned max_workers = 4;
constexpr const char* scheduler_policy = "anvillead";

const std::vector<std::pair<std::string, baseline_kind>>& baselines()
{
    static const std::vector<std::pair<std::string, baseline_kind>> all = {
        {"round_robin", baseline_kind::round_robin},
        {"least_outstanding", baseline_kind::least_outstanding},
        {"least_reported", baseline_kind::least_reported},
        {"shortest_predicted", baseline_kind::shortest_predicted},
    };
    return all;
}

std::unique_ptr<ischeduler_core> make_policy(const std::string& name, std::uint64_t seed, variant scenario_variant)
{
    for (const auto& [known, kind] : baselines()) {
        if (name == known) {
            return std::make_unique<baseline>(kind);
        }
    }
    scheduler_options options;
    options.process = "s";
    options.seed = seed;
    options.placement.affinity.enabled |= scenario_variant == variant::with_affinity;
    return std::make_unique<scheduler_core>(options);
}

/// One simulation run. Results are stored by index, so that the order of completion does not matter.
struct job
{
    std::size_t result = 0;
    std::size_t policy = 0;
    variant scenario_variant = variant::complete;
    std::uint64_t seed = 1;
    run_statistics figures;
};

std::vector<scenario_results> make_results(const std::string& only)
{
    std::vector<scenario_results> out;
    for (const auto& name : scenario_names()) {
        for (const auto& site : deployments()) {
            if (!only.empty() && name != only) {
                continue;
            }
            scenario_results it{name, site.name, {{scheduler_policy, {}}}, {}};
            for (const auto& [policy, kind] : baselines()) {
                it.policies.emplace_back(policy, run_statistics{});
            }
            for (const auto scenario_variant : reference_variants(name)) {
                it.references.emplace_back(scenario_variant, run_statistics{});
            }
            out.push_back(std::move(it));
        }
    }
    return out;
}

std::vector<job> make_jobs(const std::vector<scenario_results>& results, unsigned first_seed)
{
    std::vector<job> out;
    for (std::size_t i = 0; i < results.size(); ++i) {
        for (unsigned seed = first_seed; seed < first_seed + seeds_per_run; ++seed) {
            for (std::size_t policy = 0; policy < results[i].policies.size(); ++policy) {
                out.push_back({i, policy, variant::complete, seed, {}});
            }
            for (const auto& [scenario_variant, figures] : results[i].references) {
                out.push_back({i, 0, scenario_variant, seed, {}});
            }
        }
    }
    return out;
}

void run_job(const std::vector<scenario_results>& results, job& value)
{
    const auto& target = results[value.result];
    const auto site = std::find_if(deployments().begin(), deployments().end(),
                                   [&](const deployment& it) { return it.name == target.deployment; });
    const auto input = make_scenario(target.scenario, *site, value.seed, value.scenario_variant);
    const auto policy = make_policy(target.policies[value.policy].first, value.seed, value.scenario_variant);
    value.figures = simulation(input, *policy).run();
}

void run_jobs(const std::vector<scenario_results>& results, std::vector<job>& jobs)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    const auto count = std::clamp(std::thread::hardware_concurrency(), 1U, max_workers);
    for (unsigned i = 0; i < count; ++i) {
        workers.emplace_back([&] {
            for (auto at = next++; at < jobs.size(); at = next++) {
                run_job(results, jobs[at]);
            }
        });
    }
    for (auto& it : workers) {
        it.join();
    }
}

} // namespace

int run_decisions(int argc, char** argv)
{
    TCLAP::CmdLine command("Measures admission decisions against baselines in virtual time.", ' ', ANVILLEAD_VERSION);
    TCLAP::ValueArg<unsigned> seed("", "seed", "First of three random seeds.", false, 1, "N", command);
    TCLAP::ValueArg<std::string> only(
        "", "scenario", "Runs only this scenario: " + fmt::format("{}", fmt::join(scenario_names(), ", ")), false, "",
        "NAME", command);
    TCLAP::SwitchArg json("", "json", "Prints JSON.", command);
    command.parse(argc, argv);
    auto results = make_results(only.getValue());
    if (results.empty()) {
        fmt::print(stderr, "anvillead-bench: unknown scenario {}\n", only.getValue());
        return 2;
    }
    auto jobs = make_jobs(results, seed.getValue());
    run_jobs(results, jobs);
    for (const auto& it : jobs) {
        auto& target = results[it.result];
        if (it.scenario_variant == variant::complete) {
            target.policies[it.policy].second.merge(it.figures);
            continue;
        }
        for (auto& [scenario_variant, figures] : target.references) {
            if (scenario_variant == it.scenario_variant) {
                figures.merge(it.figures);
            }
        }
    }
    fmt::print("{}", json.getValue() ? as_json(results) : as_text(results));
    return 0;
}

} // namespace anvillead
