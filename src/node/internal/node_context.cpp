#include "node/node_context.h"

#include <algorithm>

namespace anvillead {

namespace {

// Hosts count only those that they hear, so during a partition their parts add up to more than the whole. The reserve
// covers that, and repeats that are counted in another window than they were earned in.
constexpr double used_part = 0.7;
constexpr double fewest_repeats = 2;

} // namespace

retry_budget& node_context::repeats_of(const service_name& service)
{
    auto& out = repeats[service];
    if (!out) {
        const auto hosts = static_cast<double>(peers.live().size() + 1);
        retry_budget_limits limits;
        limits.share = settings.retry_share * used_part;
        limits.most = std::max(fewest_repeats, settings.retry_slack * used_part / hosts);
        out = std::make_unique<retry_budget>(limits);
    }
    return *out;
}

} // namespace anvillead
