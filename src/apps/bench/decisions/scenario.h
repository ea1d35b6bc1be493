#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "messages/types/messages.h"

namespace anvillead::bench {

/// Size of one of the two deployments.
struct deployment
{
    std::string name;
    int engines = 0;
    std::vector<double> weights;
    /// One-way latency between zones and to clients in milliseconds.
    double zone_ms = 0;
    double client_ms = 0;
};

/// One caller's request; its time does not depend on earlier answers.
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
    /// Hash of the prompt's start, 0 for none, and how many tokens all prompts with this hash share.
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

/// Everything that a run needs except the policy; the same object serves every policy.
struct scenario
{
    std::string name;
    deployment site;
    std::vector<arrival> arrivals;
    std::vector<engine_fault> faults;
    /// Delay of load reports and the part of them that is lost.
    double load_lag_ms = 100;
    double load_loss = 0;
    /// Delay of prefix cache events, until they are part of a load report, and the part of them that is missing.
    double cache_lag_ms = 0;
    double cache_loss = 0;
    /// Requests that arrive from here on and tokens delivered from here to the end are measured.
    double warm_ms = 0;
    double end_ms = 0;
    /// Organisations whose demand is within their share.
    std::vector<bool> within_share;
    std::uint64_t seed = 1;
};

const std::vector<deployment>& deployments();
const std::vector<std::string>& scenario_names();
/// What a run leaves out, for comparison.
enum class variant
{
    complete,
    /// Urgent work only.
    without_drafts,
    /// The flooding organisation stays at its normal rate.
    without_flood,
    /// Everything, with the scheduler's prefix affinity on.
    with_affinity
};

scenario make_scenario(const std::string& name, const deployment& site, std::uint64_t seed, variant part);
/// Variants that the scenario is compared with.
std::vector<variant> references_of(const std::string& name);
std::string to_string(variant value);
document make_document(const deployment& site);

} // namespace anvillead::bench
