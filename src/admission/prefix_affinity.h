#pragma once

#include <vector>

#include "admission/prefix_hints.h"
#include "admission/types/cache_event.h"
#include "core/types/work_class.h"

namespace anvillead {

/// An engine that can accept a request, and the expected length of its next step, counted in generations.
struct affinity_candidate
{
    upstream_id engine;
    double cost = 0;
};

/// Prefers, among the engines that can accept a request, those that probably have the start of its prompt in their
/// cache. The same cost limits apply with and without a hint, so a wrong hint does not lead to a longer step.
class prefix_affinity
{
public:
    explicit prefix_affinity(const affinity_settings& settings) : settings_(settings), hints_(settings) {}

    /// Indices of the candidates to try first, in this order; empty if the prefix is unknown (0) or affinity is
    /// disabled. `cost_per_token` is the cost of one prompt token that has to be computed.
    std::vector<std::size_t> preferred(instant now, const std::vector<affinity_candidate>& candidates,
                                       std::uint64_t prefix, tokens input, work_class served,
                                       double cost_per_token) const;
    void record_placement(instant now, const upstream_id& engine, std::uint64_t prefix);
    /// Applies the events of a load report that was taken at this time.
    void observe(instant taken, const upstream_id& engine, const std::vector<cache_event>& events);
    void engine_lost(const upstream_id& engine) { hints_.remove_engine(engine); }

private:
    /// Maximum cost of a candidate; others are skipped.
    double cost_limit(const std::vector<affinity_candidate>& candidates, work_class served) const;

    affinity_settings settings_;
    prefix_hints hints_;
};

} // namespace anvillead
