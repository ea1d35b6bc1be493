#include "apps/bench/decisions/report.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace anvillead::bench {

namespace {

using nlohmann::json;

/// Performance target of docs/design.md section 1.9: a ratio and its bound.
struct performance_target
{
    std::string name;
    double ratio = 0;
    double bound = 0;
    bool at_most = true;

    bool met() const { return at_most ? ratio <= bound : ratio >= bound; }
};

double ratio_of(double a, double b)
{
    if (b > 0) {
        return a / b;
    }
    return a > 0 ? std::numeric_limits<double>::infinity() : 0;
}

/// Returns the minimum of a measure over the baselines.
template <typename Measure>
double min_of_baselines(const scenario_results& value, Measure measure)
{
    double out = std::numeric_limits<double>::max();
    for (std::size_t i = 1; i < value.policies.size(); ++i) {
        out = std::min(out, measure(value.policies[i].second));
    }
    return out;
}

double worst_wait_ratio(const run_statistics& scheduler, const run_statistics& reference)
{
    double out = 0;
    for (std::size_t i = 0; i < scheduler.organisations.size(); ++i) {
        if (scheduler.organisations[i].within_share) {
            out =
                std::max(out, ratio_of(scheduler.organisations[i].wait.mean(), reference.organisations[i].wait.mean()));
        }
    }
    return out;
}

double worst_wait(const run_statistics& value)
{
    double out = 0;
    for (const auto& it : value.organisations) {
        out = it.within_share ? std::max(out, it.wait.worst()) : out;
    }
    return out;
}

std::vector<performance_target> performance_targets(const scenario_results& value)
{
    const auto& scheduler = value.policies.front().second;
    const auto p99 = [](const duration_histogram& it) { return it.quantile(0.99); };
    std::vector<performance_target> out;
    if (const auto* it = value.reference(variant::without_drafts)) {
        out.push_back({"urgent stall p99 / without drafts",
                       ratio_of(p99(scheduler.classes[0].stall), p99(it->classes[0].stall)), 1.2});
    }
    if (const auto* it = value.reference(variant::without_flood)) {
        out.push_back({"mean wait within share / without flood", worst_wait_ratio(scheduler, *it), 1.2});
    }
    out.push_back({"preemptions / best baseline",
                   ratio_of(scheduler.preemptions_per_thousand(),
                            min_of_baselines(value, [](const auto& it) { return it.preemptions_per_thousand(); })),
                   0.1});
    out.push_back({"gap p99 / best baseline",
                   ratio_of(p99(scheduler.gap), min_of_baselines(value, [&](const auto& it) { return p99(it.gap); })),
                   0.7});
    out.push_back({"useful tokens / best baseline",
                   ratio_of(scheduler.useful_per_second(),
                            -min_of_baselines(value, [](const auto& it) { return -it.useful_per_second(); })),
                   0.95, false});
    return out;
}

std::string policy_text(const std::string& name, const run_statistics& it)
{
    std::string out =
        fmt::format("  {:<20} preemptions/1000 {:>8.1f}  recomputed {:>9}  useful tok/s {:>8.0f}  gap p95 "
                    "{:>6.1f} p99 {:>6.1f}  share deviation {:>5.2f}  worst wait in share {:>8.0f}  prompt tokens "
                    "computed {:>9} saved {:>9}\n",
                    name, it.preemptions_per_thousand(), it.recomputed, it.useful_per_second(), it.gap.quantile(0.95),
                    it.gap.quantile(0.99), it.share_deviation(), worst_wait(it), it.prompt_computed, it.prompt_saved);
    for (std::size_t i = 0; i < it.classes.size(); ++i) {
        const auto& at = it.classes[i];
        if (at.requests == 0) {
            continue;
        }
        out += fmt::format(
            "    {:<8} stall ms p50 {:>8.1f} p95 {:>8.1f} p99 {:>8.1f} worst {:>8.1f}  gap ms p95 {:>6.1f} p99 "
            "{:>6.1f}  requests {:>6} finished {:>6} refused {:>5} lost {:>4} preempted {:>6}\n",
            work_class_names[i], at.stall.quantile(0.5), at.stall.quantile(0.95), at.stall.quantile(0.99),
            at.stall.worst(), at.gap.quantile(0.95), at.gap.quantile(0.99), at.requests, at.finished, at.refusals,
            at.lost, at.preemptions);
    }
    return out;
}

json policy_json(const run_statistics& it)
{
    json out = {{"preemptions_per_thousand", it.preemptions_per_thousand()},
                {"recomputed_tokens", it.recomputed},
                {"useful_tokens_per_second", it.useful_per_second()},
                {"gap_p95_ms", it.gap.quantile(0.95)},
                {"gap_p99_ms", it.gap.quantile(0.99)},
                {"prompt_tokens_computed", it.prompt_computed},
                {"prompt_tokens_saved", it.prompt_saved},
                {"share_deviation", it.share_deviation()},
                {"worst_wait_in_share_ms", worst_wait(it)}};
    for (std::size_t i = 0; i < it.classes.size(); ++i) {
        const auto& at = it.classes[i];
        if (at.requests == 0) {
            continue;
        }
        out["classes"][std::string(work_class_names[i])] = {{"stall_p50_ms", at.stall.quantile(0.5)},
                                                            {"stall_p95_ms", at.stall.quantile(0.95)},
                                                            {"stall_p99_ms", at.stall.quantile(0.99)},
                                                            {"stall_worst_ms", at.stall.worst()},
                                                            {"gap_p95_ms", at.gap.quantile(0.95)},
                                                            {"gap_p99_ms", at.gap.quantile(0.99)},
                                                            {"requests", at.requests},
                                                            {"finished", at.finished},
                                                            {"refused", at.refusals},
                                                            {"lost", at.lost},
                                                            {"preempted", at.preemptions}};
    }
    return out;
}

} // namespace

const run_statistics* scenario_results::reference(variant scenario_variant) const
{
    for (const auto& [known, figures] : references) {
        if (known == scenario_variant) {
            return &figures;
        }
    }
    return nullptr;
}

std::string as_text(const std::vector<scenario_results>& results)
{
    std::string out;
    for (const auto& it : results) {
        out += fmt::format("{} on {}\n", it.scenario, it.deployment);
        for (const auto& [name, figures] : it.policies) {
            out += policy_text(name, figures);
        }
        for (const auto& [scenario_variant, figures] : it.references) {
            out += policy_text(to_string(scenario_variant), figures);
        }
        for (const auto& at : performance_targets(it)) {
            out += fmt::format("  target: {} = {:.3f}, {} {} -> {}\n", at.name, at.ratio,
                               at.at_most ? "at most" : "at least", at.bound, at.met() ? "met" : "NOT MET");
        }
    }
    return out;
}

std::string as_json(const std::vector<scenario_results>& results)
{
    json out = json::array();
    for (const auto& it : results) {
        json entry = {{"scenario", it.scenario}, {"deployment", it.deployment}};
        for (const auto& [name, figures] : it.policies) {
            entry["policies"][name] = policy_json(figures);
        }
        for (const auto& [scenario_variant, figures] : it.references) {
            entry["references"][to_string(scenario_variant)] = policy_json(figures);
        }
        for (const auto& at : performance_targets(it)) {
            entry["targets"].push_back({{"name", at.name},
                                        {"ratio", at.ratio},
                                        {at.at_most ? "at_most" : "at_least", at.bound},
                                        {"met", at.met()}});
        }
        out.push_back(std::move(entry));
    }
    return out.dump(2) + "\n";
}

} // namespace anvillead::bench
