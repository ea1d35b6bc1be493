#include "claims/claim_journal.h"

// How claim_journal keeps to the platform's call rates.

namespace anvillead {

namespace {

constexpr std::size_t shard_offset = std::string_view("claims/").size();

std::size_t shard_of(const std::string& object)
{
    return static_cast<std::size_t>(object[shard_offset] - '0') * 10 +
           static_cast<std::size_t>(object[shard_offset + 1] - '0');
}

} // namespace

bool claim_journal::permit(claim_time time, const std::string& object, bucket& target)
{
    if (target.permitted) {
        return true;
    }
    auto& shard_next = shard_next_.at(shard_of(object));
    if (time.now < shard_next) {
        wakes_.emplace(shard_next, object);
        return false;
    }
    const bool others_first = !serving_turn_ && !turns_.empty();
    if (others_first || time.now < writes_allowed_at()) {
        if (!std::exchange(target.queued, true)) {
            turns_.push_back(object);
        }
        return false;
    }
    shard_next = time.now + limits_.shard_write_gap;
    writes_full_at_ = std::max(writes_full_at_, time.now) + interval_of(limits_.writes_per_second);
    target.permitted = true;
    return true;
}

instant claim_journal::writes_allowed_at() const
{
    return writes_full_at_ - interval_of(limits_.writes_per_second) * (limits_.write_burst - 1);
}

instant::duration claim_journal::interval_of(unsigned calls_per_second) const
{
    const auto interval = std::chrono::duration_cast<instant::duration>(seconds(1)) / calls_per_second;
    return interval * static_cast<instant::rep>(gateways_);
}

} // namespace anvillead
