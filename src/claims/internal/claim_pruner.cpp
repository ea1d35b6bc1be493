#include "claims/claim_pruner.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

// A window consists of the buckets whose numbers differ only in the last two digits.
constexpr std::int64_t buckets_per_window = 100;
constexpr std::size_t shard_offset = std::string_view("claims/").size();
// No further window is listed while this many removals are queued in memory.
constexpr std::size_t max_pending_removals = 1000;

} // namespace

pruning_actions claim_pruner::on_tick(wall_time now, const std::set<unsigned>& responsible)
{
    const auto newest = claim_bucket_number(now - limits_.keys.retention - limits_.margin) / buckets_per_window;
    const auto oldest =
        claim_bucket_number(now - limits_.keys.retention - limits_.margin - limits_.lookback) / buckets_per_window;
    for (unsigned i = 0; i < claim_shards; ++i) {
        auto& it = shards_.at(i);
        const bool is_responsible = responsible.count(i) > 0;
        if (is_responsible && !it.responsible) {
            it.window = oldest;
        }
        it.responsible = is_responsible;
    }
    pruning_actions actions;
    while (!removals_.empty() && actions.size() < limits_.calls_per_tick) {
        actions.emplace_back(std::move(removals_.front()));
        removals_.pop_front();
    }
    for (unsigned i = 0; i < claim_shards && actions.size() < limits_.calls_per_tick; ++i) {
        const auto shard = (next_shard_ + i) % claim_shards;
        auto& it = shards_.at(shard);
        // The newest window may still contain buckets within the retention period.
        if (!it.responsible || it.listing || it.window >= newest || removals_.size() >= max_pending_removals) {
            continue;
        }
        it.listing = true;
        actions.emplace_back(list_claim_objects{fmt::format("claims/{:02}/{}", shard, it.window)});
        next_shard_ = (shard + 1) % claim_shards;
    }
    return actions;
}

void claim_pruner::on_listed(const std::string& prefix, const result<platform_listing>& answer)
{
    auto& it = shards_.at(static_cast<std::size_t>(prefix[shard_offset] - '0') * 10 +
                          static_cast<std::size_t>(prefix[shard_offset + 1] - '0'));
    it.listing = false;
    if (!answer) {
        return;
    }
    // The prefix also matches longer bucket numbers, which lie in the far future.
    const auto length = prefix.size() + 2;
    for (const auto& object : answer.value().objects) {
        if (object.name.size() == length) {
            removals_.push_back({object.name, object.version});
        }
    }
    ++it.window;
}

void claim_pruner::on_removed(const remove_claim_object& removal, const result<void>& answer)
{
    if (!answer && answer.error().kind != error_kind::not_found && answer.error().kind != error_kind::conflict) {
        removals_.push_back(removal);
    }
}

} // namespace anvillead
