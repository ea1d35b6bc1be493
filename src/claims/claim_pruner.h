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

/// Rate and time range of the deletion of old claim objects.
struct pruning_limits
{
    key_limits keys;
    /// Added to the retention period, so that no gateway still accepts a key whose claim is deleted: the clocks of
    /// gateways differ, and the write of a claim may be in progress.
    seconds margin{10 * 60};
    /// A gateway that becomes responsible for a shard searches this much further back, for objects that its predecessor
    /// did not delete.
    seconds lookback{24 * 60 * 60};
    /// Platform calls per tick; a gateway ticks once per second.
    std::size_t calls_per_tick = 1;
};

/// Request to list the claim objects with this prefix and call on_listed().
struct list_claim_objects
{
    std::string prefix;
};

/// Request to delete the object at this version and call on_removed().
struct remove_claim_object
{
    std::string object;
    std::uint64_t version = 0;
};

using pruning_action = std::variant<list_claim_objects, remove_claim_object>;
using pruning_actions = std::vector<pruning_action>;

/// Deletes claim objects whose keys are older than the retention period. One call lists the objects of a shard in a
/// window of 100 buckets, whose names share a prefix; each deletion is one more call. Sans-I/O.
class claim_pruner
{
public:
    explicit claim_pruner(pruning_limits limits) : limits_(limits) {}

    /// `responsible` contains the shards for which this gateway ranks first in rendezvous hashing.
    pruning_actions on_tick(wall_time now, const std::set<unsigned>& responsible);
    void on_listed(const std::string& prefix, const result<platform_listing>& answer);
    /// Retries a failed removal unless the object has changed or no longer exists.
    void on_removed(const remove_claim_object& removal, const result<void>& answer);

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
    std::deque<remove_claim_object> removals_;
    unsigned next_shard_ = 0;
};

} // namespace anvillead
