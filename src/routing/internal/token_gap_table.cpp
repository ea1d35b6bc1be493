#include "routing/token_gap_table.h"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace anvillead {

namespace {

constexpr double buckets_per_octave = 4;
// With fewer gaps the quantile is mostly noise.
constexpr double min_gap_count = 50;
// Counts are halved at this total, so that recent gaps dominate: with 50 streams of 20 tokens per second each, they
// cover the last few seconds.
constexpr double halving_total = 4000;
// Events that arrive in one read have shorter gaps, which say nothing about the engine's token rate.
constexpr microseconds min_gap{1000};

} // namespace

void token_gap_table::record(const upstream_id& engine, instant now, microseconds gap)
{
    const std::lock_guard lock(mutex_);
    auto& it = engines_[engine];
    it.last_token = now;
    if (gap < min_gap) {
        return;
    }
    const double octaves = std::log2(static_cast<double>(gap.count()) / 1000.0);
    const auto index = std::min(static_cast<std::size_t>(octaves * buckets_per_octave), bucket_count - 1);
    it.counts[index] += 1;
    it.total += 1;
    if (it.total >= halving_total) {
        for (auto& count : it.counts) {
            count /= 2;
        }
        it.total /= 2;
    }
}

engine_stall_state token_gap_table::pace(const upstream_id& engine) const
{
    const std::lock_guard lock(mutex_);
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return {limits_.ceiling, {}};
    }
    return {stall_timeout(it->second), it->second.last_token};
}

milliseconds token_gap_table::stall_timeout(const distribution& gaps) const
{
    if (gaps.total < min_gap_count) {
        return limits_.ceiling;
    }
    double cumulative = 0;
    std::size_t index = 0;
    while (index + 1 < bucket_count && cumulative + gaps.counts[index] < gaps.total * limits_.quantile) {
        cumulative += gaps.counts[index];
        ++index;
    }
    const double upper_ms = std::exp2(static_cast<double>(index + 1) / buckets_per_octave);
    const milliseconds value(static_cast<std::int64_t>(std::ceil(upper_ms * limits_.margin)));
    return std::clamp(value, limits_.floor, limits_.ceiling);
}

} // namespace anvillead
