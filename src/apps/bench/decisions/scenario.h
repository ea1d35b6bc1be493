#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "messages/types/messages.h"

namespace anvillead::bench {

/// Size of a simulated deployment.
struct deployment
{
    std::string name;
    int engines = 0;
    std::vector<double> weights;
    /// One-way latency between zones and to clients in milliseconds.
    double zone_ms = 0;
    double client_ms = 0;
};

/// A caller's request. Arrival times are fixed and do not depend on earlier responses.
struct arrival
{
    double at_ms = 0;
    std::size_t organisation = 0;
    std::string workload;
    work_class urgency = work_class::normal;
    std::int64_t input = 0;
    std::int64_t output = 0;
    std::int64_t output_limit = 0;
    milliseconds deadline{0};
    /// Hash of the prompt's prefix, 0 for none, and the number of tokens that all prompts with this hash share.
    std::uint64_t prefix = 0;
    std::int64_t prefix_tokens = 0;
};

enum class fault_kind
{
    killed,
    leaving,
    slow
};

struct engine_fault
{
    double at_ms = 0;
    std::size_t engine = 0;
    fault_kind kind = fault_kind::killed;
};

/// Input of a run except for the policy; all policies run on the same scenario.
struct scenario
{
    std::string name;
    deployment site;
    std::vector<arrival> arrivals;
    std::vector<engine_fault> faults;
    /// Delay of load reports and the fraction of them that is lost.
    double load_delay_ms = 100;
    double load_loss_ratio = 0;
    /// Delay until a prefix cache event is included in a load report, and the fraction of events that is lost.
    double cache_delay_ms = 0;
    double cache_loss_ratio = 0;
    /// Measured are the requests that arrive and the tokens that are delivered between `warmup_ms` and `end_ms`.
    double warmup_ms = 0;
    double end_ms = 0;
    /// Organisations whose demand is within their share.
    std::vector<bool> within_share;
    std::uint64_t seed = 1;
};

const std::vector<deployment>& deployments();
const std::vector<std::string>& scenario_names();
/// Variant of a scenario, run for comparison.
enum class variant
{
    complete,
    /// Urgent work only.
    without_drafts,
    /// The flooding organisation stays at its normal rate.
    without_flood,
    /// The complete scenario with the scheduler's prefix affinity enabled.
    with_affinity
};

scenario make_scenario(const std::string& name, const deployment& site, std::uint64_t seed, variant scenario_variant);
/// Returns the variants that the scenario is compared with.
std::vector<variant> reference_variants(const std::string& name);
std::string to_string(variant value);
document make_document(const deployment& site);

} // namespace anvillead::bench
