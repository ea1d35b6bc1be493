#pragma once

#include "apps/common/agent_link.h"
#include "claims/claim_pruner.h"
#include "core/metrics.h"
#include "object_store/iplatform_client.h"

namespace anvillead {

/// Deletes expired claim objects of the shards for which this gateway ranks first by rendezvous hashing. Runs on the
/// sequence of the platform client.
class claim_pruning
{
public:
    claim_pruning(iplatform_client& platform, metrics& counters, host_id self, pruning_limits limits);

    /// Call once a second.
    void tick(wall_time now, const view_snapshot& view);

private:
    void execute(const list_claim_objects& action);
    void execute(const remove_claim_object& action);

    iplatform_client& platform_;
    metrics& counters_;
    host_id self_;
    claim_pruner pruner_;
};

} // namespace anvillead
