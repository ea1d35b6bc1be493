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

/// Positions of both lists in order, each once.
std::vector<std::size_t> joined(const std::vector<ranked>& first, const std::vector<ranked>& rest)
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

double prefix_affinity::bound(const std::vector<affinity_candidate>& open, work_class served) const
{
    double least = open.front().cost;
    double sum = 0;
    for (const auto& it : open) {
        least = std::min(least, it.cost);
        sum += it.cost;
    }
    // One generation more than the mean is allowed on idle engines too.
    const double mean_bound = settings_.load_factor * sum / static_cast<double>(open.size()) + 1;
    return served == work_class::urgent ? std::min(mean_bound, least + settings_.urgent_slack) : mean_bound;
}

std::vector<std::size_t> prefix_affinity::preferred(instant now, const std::vector<affinity_candidate>& open,
                                                    std::uint64_t prefix, tokens input, work_class served,
                                                    double per_token) const
{
    if (!settings_.enabled || prefix == 0 || open.empty()) {
        return {};
    }
    const double limit = bound(open, served);
    const double saved = static_cast<double>(std::min(input.count, settings_.assured.count)) * per_token;
    std::vector<ranked> hinted;
    std::vector<ranked> in_turn;
    double least = open.front().cost;
    for (std::size_t i = 0; i < open.size(); ++i) {
        const auto& it = open[i];
        least = std::min(least, it.cost);
        const double weight = hints_.weight(now, it.engine, prefix);
        if (it.cost > limit) {
            continue;
        }
        if (weight > 0) {
            hinted.push_back({i, it.cost - weight * saved, 0});
        }
        in_turn.push_back({i, it.cost, placement_hash(it.engine.str(), prefix)});
    }
    // A hint that does not outweigh the longer step leaves the choice as it is without hints.
    hinted.erase(std::remove_if(hinted.begin(), hinted.end(), [&](const ranked& it) { return it.cost > least; }),
                 hinted.end());
    std::stable_sort(hinted.begin(), hinted.end(), [](const ranked& a, const ranked& b) { return a.cost < b.cost; });
    std::sort(in_turn.begin(), in_turn.end(), [](const ranked& a, const ranked& b) { return a.score > b.score; });
    return joined(hinted, in_turn);
}

void prefix_affinity::placed(instant now, const upstream_id& engine, std::uint64_t prefix)
{
    if (settings_.enabled && prefix != 0) {
        hints_.note(now, engine, prefix);
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
            hints_.note(taken - it.age, engine, it.prefix);
        }
    }
}

} // namespace anvillead
