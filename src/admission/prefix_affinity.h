#pragma once

#include <vector>

#include "admission/prefix_hints.h"
#include "admission/types/cache_event.h"
#include "core/types/work_class.h"

namespace anvillead {

/// An engine that may take a request, and the expected length of its next step, counted in generations.
struct affinity_candidate
{
    upstream_id engine;
    double cost = 0;
};

/// Chooses, among engines that may take a request, those that probably hold the start of its prompt. A wrong hint
/// leads to no longer step than the choice without a hint may, because both keep to the same bounds.
class prefix_affinity
{
public:
    explicit prefix_affinity(const affinity_settings& settings) : settings_(settings), hints_(settings) {}

    /// Positions of the candidates to try first, in this order; none when the prefix is unknown (0) or affinity is
    /// off. `per_token` is the cost of one prompt token that has to be computed.
    std::vector<std::size_t> preferred(instant now, const std::vector<affinity_candidate>& open, std::uint64_t prefix,
                                       tokens input, work_class served, double per_token) const;
    void placed(instant now, const upstream_id& engine, std::uint64_t prefix);
    /// Events of a load report that was taken at this time.
    void observe(instant taken, const upstream_id& engine, const std::vector<cache_event>& events);
    void engine_lost(const upstream_id& engine) { hints_.forget(engine); }

private:
    /// Largest cost at which a candidate is not passed over.
    double bound(const std::vector<affinity_candidate>& open, work_class served) const;

    affinity_settings settings_;
    prefix_hints hints_;
};

} // namespace anvillead
