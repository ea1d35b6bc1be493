#include "apps/bench/decisions/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include <fmt/format.h>

#include "standins/engine_model/engine_model.h"

namespace anvillead::bench {

namespace {

constexpr double warmup_ms = 30'000;
constexpr double end_ms = 75'000;
constexpr double midpoint_ms = 45'000;
constexpr double reclaim_notice_ms = 3'000;
constexpr double urgent_per_engine_per_s = 6;
// Draft load of each organisation relative to its share when no organisation floods; urgent work is additional.
constexpr double base_draft_load = 0.65;
constexpr std::size_t flooding_organisation = 4;

/// Log-normal distribution of token counts, clamped to a limit.
struct length_distribution
{
    double median = 0;
    double sigma = 0;
    std::int64_t limit = 0;
};

constexpr length_distribution urgent_input{150, 0.4, 1'000};
constexpr length_distribution urgent_output{25, 0.5, 200};
constexpr length_distribution draft_input{600, 0.6, 4'000};
constexpr length_distribution draft_output{900, 0.7, 20'000};
constexpr length_distribution short_draft_output{150, 0.5, 20'000};

// Fraction of the prompts with a shared prefix, and the length of that prefix in tokens.
constexpr double shared_prefix_ratio = 0.7;
constexpr std::int64_t urgent_shared_tokens = 100;
constexpr std::int64_t draft_shared_tokens = 400;
constexpr std::array<double, 6> draft_prefix_weights{6, 3, 2, 1.5, 1.2, 1};
constexpr std::uint64_t prefixes_per_organisation = 1 + draft_prefix_weights.size();
constexpr std::uint64_t first_unique_prefix = 1'000;

double mean_of(const length_distribution& it)
{
    return it.median * std::exp(it.sigma * it.sigma / 2);
}

/// Draft tokens per second that one engine decodes when its memory is full.
double decode_rate(const length_distribution& input, const length_distribution& output)
{
    const standin::engine_model_settings engine;
    const double mean = mean_of(output);
    const double second_moment = output.median * output.median * std::exp(2 * output.sigma * output.sigma);
    const double footprint = mean_of(input) + second_moment / mean / 2;
    const double batch = std::min<double>(engine.batch_limit, static_cast<double>(engine.capacity) / footprint);
    // A generation of mean length is prefilled once per `mean` tokens.
    const double prefill = batch / mean * mean_of(input) * engine.prefill_ms_per_token;
    return 1000 * batch / (engine.step_base_ms + engine.step_per_sequence_ms * batch + prefill);
}

/// Generates arrivals. Each stream has its own random generator, so that omitting one does not change the others.
class arrival_source
{
public:
    arrival_source(scenario& out, std::uint64_t stream) : out_(out), random_(out.seed * 1'000'003 + stream) {}

    void add_poisson_arrivals(const arrival& shape, const length_distribution& input, const length_distribution& output,
                              double per_s, double from_ms, double to_ms)
    {
        if (per_s <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(per_s / 1000);
        for (double at = from_ms + gap(random_); at < to_ms; at += gap(random_)) {
            arrival it = shape;
            it.at_ms = at;
            it.input = draw(input);
            it.output = draw(output);
            it.output_limit = output.limit;
            out_.arrivals.push_back(it);
        }
    }

private:
    std::int64_t draw(const length_distribution& shape)
    {
        std::lognormal_distribution<double> distribution(std::log(shape.median), shape.sigma);
        return std::clamp<std::int64_t>(std::llround(distribution(random_)), 1, shape.limit);
    }

    scenario& out_;
    std::mt19937_64 random_;
};

double share_of(const deployment& site, std::size_t organisation)
{
    double sum = 0;
    for (const double it : site.weights) {
        sum += it;
    }
    return site.weights[organisation] / sum;
}

void add_urgent(scenario& out)
{
    for (std::size_t i = 0; i < out.site.weights.size(); ++i) {
        arrival_source source(out, 100 + i);
        const double rate = urgent_per_engine_per_s * out.site.engines * share_of(out.site, i);
        source.add_poisson_arrivals({0, i, "check", work_class::urgent, 0, 0, 0, milliseconds(5000)}, urgent_input,
                                    urgent_output, rate, 0, out.end_ms);
    }
}

/// Adds drafts of one organisation at `load` times its share of the decoding capacity.
void add_drafts(scenario& out, std::size_t organisation, double load)
{
    arrival_source source(out, 200 + organisation);
    const double capacity = out.site.engines * decode_rate(draft_input, draft_output);
    const double rate = load * share_of(out.site, organisation) * capacity / mean_of(draft_output);
    source.add_poisson_arrivals({0, organisation, "sheet", work_class::draft, 0, 0, 0, milliseconds(0)}, draft_input,
                                draft_output, rate, 0, out.end_ms);
}

void add_all_drafts(scenario& out, double load)
{
    for (std::size_t i = 0; i < out.site.weights.size(); ++i) {
        add_drafts(out, i, load);
    }
}

void add_shift(scenario& out)
{
    // Outputs become ten times longer, so that the workload grows from a small fraction of the load to most of it.
    const double capacity = out.site.engines * decode_rate(draft_input, draft_output);
    length_distribution after = short_draft_output;
    after.median *= 10;
    for (std::size_t i = 0; i < out.site.weights.size(); ++i) {
        arrival_source source(out, 300 + i);
        const arrival shape{0, i, "notes", work_class::draft, 0, 0, 0, milliseconds(0)};
        const double rate = 0.08 * share_of(out.site, i) * capacity / mean_of(short_draft_output);
        source.add_poisson_arrivals(shape, draft_input, short_draft_output, rate, 0, midpoint_ms);
        source.add_poisson_arrivals(shape, draft_input, after, rate, midpoint_ms, out.end_ms);
    }
}

/// Assigns prefixes to the prompts. Most prompts share theirs: each organisation has one prefix for checks and several
/// for drafts, of which the first are the most frequent. The other prompts have unique prefixes.
void add_prefixes(scenario& out)
{
    std::mt19937_64 random(out.seed * 1'000'003 + 400);
    std::discrete_distribution<std::uint64_t> draft_prefix(draft_prefix_weights.begin(), draft_prefix_weights.end());
    std::bernoulli_distribution shared(shared_prefix_ratio);
    std::uint64_t next_unique_prefix = first_unique_prefix;
    for (auto& it : out.arrivals) {
        const bool draft = it.urgency == work_class::draft;
        const auto index = draft ? 1 + draft_prefix(random) : 0;
        if (!shared(random)) {
            it.prefix = next_unique_prefix++;
            continue;
        }
        it.prefix = 1 + it.organisation * prefixes_per_organisation + index;
        it.prefix_tokens = std::min(it.input, draft ? draft_shared_tokens : urgent_shared_tokens);
    }
}

void add_faults(scenario& out)
{
    for (const std::size_t engine : {1, 4, 7}) {
        out.faults.push_back({midpoint_ms, engine, fault_kind::killed});
    }
    out.faults.push_back({midpoint_ms, 9, fault_kind::leaving});
    out.faults.push_back({midpoint_ms + reclaim_notice_ms, 9, fault_kind::killed});
    out.faults.push_back({midpoint_ms, 10, fault_kind::slow});
}

} // namespace

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> all = {
        {"ceylon", 12, {5, 3, 3, 1, 1, 1, 1, 1, 1, 1}, 1.5, 1},
        {"caledonian", 14, {6, 4, 2, 1, 1, 1, 1, 1, 1, 1}, 1, 3},
    };
    return all;
}

const std::vector<std::string>& scenario_names()
{
    static const std::vector<std::string> names = {"drafts", "flood", "shift", "stale", "losses", "prefixes"};
    return names;
}

std::vector<variant> reference_variants(const std::string& name)
{
    if (name == "drafts") {
        return {variant::without_drafts};
    }
    if (name == "flood") {
        return {variant::without_drafts, variant::without_flood};
    }
    if (name == "prefixes") {
        return {variant::with_affinity};
    }
    return {};
}

std::string to_string(variant value)
{
    switch (value) {
    case variant::complete:
        return "complete";
    case variant::without_drafts:
        return "without drafts";
    case variant::without_flood:
        return "without flood";
    case variant::with_affinity:
        return "with affinity";
    }
    return "";
}

scenario make_scenario(const std::string& name, const deployment& site, std::uint64_t seed, variant scenario_variant)
{
    scenario out;
    out.name = name;
    out.site = site;
    out.seed = seed;
    out.warmup_ms = warmup_ms;
    out.end_ms = end_ms;
    out.within_share.assign(site.weights.size(), name != "drafts");
    add_urgent(out);
    const bool drafts = scenario_variant != variant::without_drafts;
    if (drafts && name == "drafts") {
        add_all_drafts(out, 1.3);
    } else if (drafts && name == "flood") {
        for (std::size_t i = 0; i < site.weights.size(); ++i) {
            const bool is_flooding = i == flooding_organisation && scenario_variant == variant::complete;
            add_drafts(out, i, is_flooding ? base_draft_load + 1 / share_of(site, i) : base_draft_load);
        }
        out.within_share[flooding_organisation] = scenario_variant == variant::without_flood;
    } else if (name == "shift") {
        add_all_drafts(out, 0.6);
        add_shift(out);
    } else if (name == "stale") {
        add_all_drafts(out, 1.1);
        out.load_delay_ms = 2000;
        out.load_loss_ratio = 0.2;
    } else if (name == "losses") {
        add_all_drafts(out, 0.6);
        add_faults(out);
    } else if (name == "prefixes") {
        add_all_drafts(out, 0.6);
        add_prefixes(out);
        out.cache_delay_ms = 2000;
        out.cache_loss_ratio = 0.2;
    }
    std::stable_sort(out.arrivals.begin(), out.arrivals.end(),
                     [](const arrival& a, const arrival& b) { return a.at_ms < b.at_ms; });
    return out;
}

document make_document(const deployment& site)
{
    document out;
    service engines;
    engines.name = service_name("engines");
    engines.models = {model_name("model")};
    const standin::engine_model_settings shape;
    for (int i = 0; i < site.engines; ++i) {
        engines.upstreams.push_back({upstream_id(fmt::format("e{:02}", i)),
                                     fmt::format("e{:02}", i),
                                     zone_name("z"),
                                     {shape.capacity},
                                     shape.batch_limit});
    }
    out.services.push_back(engines);
    for (std::size_t i = 0; i < site.weights.size(); ++i) {
        organisation it;
        it.id = organisation_id(fmt::format("o{}", i));
        it.weight = site.weights[i];
        out.organisations.push_back(it);
    }
    return out;
}

} // namespace anvillead::bench
