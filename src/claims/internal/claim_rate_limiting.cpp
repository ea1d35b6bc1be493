#include "claims/claim_journal.h"

// Rate limits of claim_journal: a minimum gap between writes to a shard and a token bucket for all writes.

namespace anvillead {

namespace {

constexpr std::size_t shard_offset = std::string_view("claims/").size();

std::size_t shard_of(const std::string& object)
{
    return static_cast<std::size_t>(object[shard_offset] - '0') * 10 +
           static_cast<std::size_t>(object[shard_offset + 1] - '0');
}

} // namespace

bool claim_journal::acquire_write_permit(claim_time time, const std::string& object, object_state& target)
{
    if (target.has_write_permit) {
        return true;
    }
    auto& next_write = shard_next_write_.at(shard_of(object));
    if (time.now < next_write) {
        object_timers_.emplace(next_write, object);
        return false;
    }
    const bool others_first = !serving_write_queue_ && !write_queue_.empty();
    if (others_first || time.now < writes_allowed_at()) {
        if (!std::exchange(target.in_write_queue, true)) {
            write_queue_.push_back(object);
        }
        return false;
    }
    next_write = time.now + limits_.shard_write_gap;
    write_tokens_full_at_ = std::max(write_tokens_full_at_, time.now) + call_interval(limits_.writes_per_second);
    target.has_write_permit = true;
    return true;
}

instant claim_journal::writes_allowed_at() const
{
    return write_tokens_full_at_ - call_interval(limits_.writes_per_second) * (limits_.write_burst - 1);
}

instant::duration claim_journal::call_interval(unsigned calls_per_second) const
{
    const auto interval = std::chrono::duration_cast<instant::duration>(seconds(1)) / calls_per_second;
    return interval * static_cast<instant::rep>(gateways_);
}

} // namespace anvillead
