#include "apps/gateway/claim_pruning.h"

#include <fmt/format.h>

#include "routing/rendezvous.h"

namespace anvillead {

claim_pruning::claim_pruning(iplatform_client& platform, metrics& counters, host_id self, pruning_limits limits)
    : platform_(platform), counters_(counters), self_(std::move(self)), pruner_(limits)
{}

void claim_pruning::tick(wall_time now, const view_snapshot& view)
{
    std::set<unsigned> responsible;
    for (unsigned shard = 0; shard < claim_shards; ++shard) {
        for (const auto& it : rank_members(view.members, fmt::format("claims/pruning/{}", shard))) {
            if (it.addresses.gateway_link.empty()) {
                continue;
            }
            if (it.host == self_) {
                responsible.insert(shard);
            }
            break;
        }
    }
    for (const auto& it : pruner_.on_tick(now, responsible)) {
        std::visit([this](const auto& action) { execute(action); }, it);
    }
}

void claim_pruning::execute(const list_claim_objects& action)
{
    platform_.list(action.prefix, [this, prefix = action.prefix](const result<platform_listing>& answer) {
        pruner_.on_listed(prefix, answer);
    });
}

void claim_pruning::execute(const remove_claim_object& action)
{
    platform_.remove(action.object, action.version, [this, action](const result<void>& answer) {
        if (answer) {
            counters_.add("claim_objects_removed_total");
        }
        pruner_.on_removed(action, answer);
    });
}

} // namespace anvillead
