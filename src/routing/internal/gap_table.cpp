#include "routing/gap_table.h"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace anvillead {

namespace {

constexpr double buckets_per_octave = 4;
// With fewer gaps the quantile is mostly noise.
constexpr double fewest_gaps = 50;
// Counts are halved at this total, so that an engine is judged by its recent past: at 50 streams and 20 tokens a second
// each, this is the last few seconds.
constexpr double recent_gaps = 4000;
// Events that were read together say nothing about the pace of the engine.
constexpr microseconds shortest_gap{1000};

} // namespace

void gap_table::record(const upstream_id& engine, instant now, microseconds gap)
{
    const std::lock_guard lock(mutex_);
    auto& it = engines_[engine];
    it.last_token = now;
    if (gap < shortest_gap) {
        return;
    }
    const double octaves = std::log2(static_cast<double>(gap.count()) / 1000.0);
    const auto index = std::min(static_cast<std::size_t>(octaves * buckets_per_octave), bucket_count - 1);
    it.counts[index] += 1;
    it.total += 1;
    if (it.total >= recent_gaps) {
        for (auto& count : it.counts) {
            count /= 2;
        }
        it.total /= 2;
    }
}

engine_pace gap_table::pace(const upstream_id& engine) const
{
    const std::lock_guard lock(mutex_);
    const auto it = engines_.find(engine);
    if (it == engines_.end()) {
        return {limits_.ceiling, {}};
    }
    return {bound(it->second), it->second.last_token};
}

milliseconds gap_table::bound(const distribution& gaps) const
{
    if (gaps.total < fewest_gaps) {
        return limits_.ceiling;
    }
    double seen = 0;
    std::size_t index = 0;
    while (index + 1 < bucket_count && seen + gaps.counts[index] < gaps.total * limits_.quantile) {
        seen += gaps.counts[index];
        ++index;
    }
    const double upper_ms = std::exp2(static_cast<double>(index + 1) / buckets_per_octave);
    const milliseconds value(static_cast<std::int64_t>(std::ceil(upper_ms * limits_.margin)));
    return std::clamp(value, limits_.floor, limits_.ceiling);
}

} // namespace anvillead
