#include "admission/prefix_affinity.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

struct ranked
{
    std::size_t index = 0;
    double cost = 0;
    std::uint64_t score = 0;
};

/// Indices of both lists in order, without duplicates.
std::vector<std::size_t> concatenate_unique(const std::vector<ranked>& first, const std::vector<ranked>& rest)
{
    std::vector<std::size_t> out;
    out.reserve(rest.size());
    for (const auto& it : first) {
        out.push_back(it.index);
    }
    for (const auto& it : rest) {
        if (std::find(out.begin(), out.end(), it.index) == out.end()) {
            out.push_back(it.index);
        }
    }
    return out;
}

} // namespace

double prefix_affinity::cost_limit(const std::vector<affinity_candidate>& candidates, work_class served) const
{
    double lowest_cost = candidates.front().cost;
    double sum = 0;
    for (const auto& it : candidates) {
        lowest_cost = std::min(lowest_cost, it.cost);
        sum += it.cost;
    }
    // Allows one generation more than the mean on idle engines, too.
    const double mean_limit = settings_.load_factor * sum / static_cast<double>(candidates.size()) + 1;
    return served == work_class::urgent ? std::min(mean_limit, lowest_cost + settings_.urgent_slack) : mean_limit;
}

std::vector<std::size_t> prefix_affinity::preferred(instant now, const std::vector<affinity_candidate>& candidates,
                                                    std::uint64_t prefix, tokens input, work_class served,
                                                    double cost_per_token) const
{
    if (!settings_.enabled || prefix == 0 || candidates.empty()) {
        return {};
    }
    const double limit = cost_limit(candidates, served);
    const double saved = static_cast<double>(std::min(input.count, settings_.min_saved_tokens.count)) * cost_per_token;
    std::vector<ranked> hinted;
    std::vector<ranked> by_rendezvous;
    double lowest_cost = candidates.front().cost;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        lowest_cost = std::min(lowest_cost, it.cost);
        const double weight = hints_.weight(now, it.engine, prefix);
        if (it.cost > limit) {
            continue;
        }
        if (weight > 0) {
            hinted.push_back({i, it.cost - weight * saved, 0});
        }
        by_rendezvous.push_back({i, it.cost, placement_hash(it.engine.str(), prefix)});
    }
    // A hint that does not outweigh a longer step is ignored.
    hinted.erase(std::remove_if(hinted.begin(), hinted.end(), [&](const ranked& it) { return it.cost > lowest_cost; }),
                 hinted.end());
    std::stable_sort(hinted.begin(), hinted.end(), [](const ranked& a, const ranked& b) { return a.cost < b.cost; });
    std::sort(by_rendezvous.begin(), by_rendezvous.end(),
              [](const ranked& a, const ranked& b) { return a.score > b.score; });
    return concatenate_unique(hinted, by_rendezvous);
}

void prefix_affinity::record_placement(instant now, const upstream_id& engine, std::uint64_t prefix)
{
    if (settings_.enabled && prefix != 0) {
        hints_.record(now, engine, prefix);
    }
}

void prefix_affinity::observe(instant taken, const upstream_id& engine, const std::vector<cache_event>& events)
{
    if (!settings_.enabled) {
        return;
    }
    for (const auto& it : events) {
        if (it.evicted) {
            hints_.evict(taken - it.age, engine, it.prefix);
        } else if (it.prefix != 0) {
            hints_.record(taken - it.age, engine, it.prefix);
        }
    }
}

} // namespace anvillead
