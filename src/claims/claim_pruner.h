#pragma once

#include <array>
#include <deque>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "claims/idempotency_key.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Pace and reach of the deletion of old claim objects.
struct pruning_limits
{
    key_limits keys;
    /// Added to the retention period, so that no gateway still accepts a key whose claim is deleted: clocks may differ
    /// and a claim may be on its way.
    seconds margin{10 * 60};
    /// A gateway that becomes responsible looks this far further back for objects that its predecessor left.
    seconds reach{24 * 60 * 60};
    /// Platform calls per tick, which is once a second in a gateway.
    std::size_t calls_per_tick = 1;
};

/// List the claim objects with this prefix and call on_listed().
struct list_claims
{
    std::string prefix;
};

/// Delete an object of this version.
struct remove_claims
{
    std::string object;
    std::uint64_t version = 0;
};

using pruning_action = std::variant<list_claims, remove_claims>;
using pruning_actions = std::vector<pruning_action>;

/// Deletes claim objects whose keys are past retention. One call lists the objects of a shard in a window of 100
/// buckets, which share the start of their names; each object costs one more call. Sans-I/O.
class claim_pruner
{
public:
    explicit claim_pruner(pruning_limits limits) : limits_(limits) {}

    /// `responsible` holds the shards for which this gateway is first in rendezvous order.
    pruning_actions on_tick(wall_time now, const std::set<unsigned>& responsible);
    void on_listed(const std::string& prefix, const result<platform_listing>& answer);
    /// A removal that failed for another reason than a changed or missing object is tried again.
    void on_removed(const remove_claims& removal, const result<void>& answer);

private:
    struct shard_state
    {
        bool responsible = false;
        bool listing = false;
        /// Number of the next window to list.
        std::int64_t window = 0;
    };

    pruning_limits limits_;
    std::array<shard_state, claim_shards> shards_{};
    std::deque<remove_claims> removals_;
    unsigned next_shard_ = 0;
};

} // namespace anvillead
