#pragma once

#include <array>
#include <map>

#include "core/ranked_mutex.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// How the silence of an engine is judged from its recent gaps between tokens.
struct stall_limits
{
    /// The bound is `margin` times this quantile of the gaps, between `floor` and `ceiling`.
    double quantile = 0.99;
    double margin = 4;
    milliseconds floor{250};
    /// Also the bound while an engine has too few gaps to be judged, and before the first token of a stream.
    milliseconds ceiling{2000};
};

/// What is known about the pace of one engine.
struct engine_pace
{
    /// A stream that is silent for longer is stalled.
    milliseconds bound{0};
    /// Last token of any stream of this gateway on the engine.
    instant last_token{};
};

/// Recent gaps between tokens by engine, shared by the streams of a gateway. Thread-safe.
class gap_table
{
public:
    explicit gap_table(stall_limits limits) : limits_(limits) {}

    /// A token arrived `gap` after the one before it on the same stream.
    void record(const upstream_id& engine, instant now, microseconds gap);
    engine_pace pace(const upstream_id& engine) const;
    /// Forgets engines that are no longer configured.
    template <typename Predicate>
    void keep_only(Predicate wanted)
    {
        const std::lock_guard lock(mutex_);
        for (auto it = engines_.begin(); it != engines_.end();) {
            it = wanted(it->first) ? std::next(it) : engines_.erase(it);
        }
    }

private:
    // Buckets of a quarter octave from 1 ms; the last one holds everything from 65 s on.
    static constexpr std::size_t bucket_count = 65;

    struct distribution
    {
        std::array<double, bucket_count> counts = {};
        double total = 0;
        instant last_token{};
    };

    milliseconds bound(const distribution& gaps) const;

    mutable ranked_mutex mutex_{lock_rank::streams};
    stall_limits limits_;
    std::map<upstream_id, distribution> engines_;
};

} // namespace anvillead
