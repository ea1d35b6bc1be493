#pragma once

#include <array>
#include <map>

#include "core/ranked_mutex.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Parameters of the stall timeout that is derived from the recent gaps between an engine's tokens.
struct stall_limits
{
    /// The timeout is `margin` times this quantile of the gaps, clamped to `floor` and `ceiling`.
    double quantile = 0.99;
    double margin = 4;
    milliseconds floor{250};
    /// Also the timeout while an engine has too few recorded gaps, and before the first token of a stream.
    milliseconds ceiling{2000};
};

/// Stall timeout and latest activity of one engine.
struct engine_stall_state
{
    /// A stream without an event for longer than this is considered stalled.
    milliseconds stall_timeout{0};
    /// Time of the last token of any stream of this gateway on the engine.
    instant last_token{};
};

/// Histograms of the recent gaps between tokens, one per engine, shared by the streams of a gateway. Thread-safe.
class token_gap_table
{
public:
    explicit token_gap_table(stall_limits limits) : limits_(limits) {}

    /// Records a token that arrived `gap` after the previous one of the same stream.
    void record(const upstream_id& engine, instant now, microseconds gap);
    engine_stall_state pace(const upstream_id& engine) const;
    /// Removes the engines for which the predicate is false; used for engines that are no longer configured.
    template <typename Predicate>
    void retain_if(Predicate is_configured)
    {
        const std::lock_guard lock(mutex_);
        for (auto it = engines_.begin(); it != engines_.end();) {
            it = is_configured(it->first) ? std::next(it) : engines_.erase(it);
        }
    }

private:
    // Four logarithmic buckets per doubling, starting at 1 ms; the last one holds all gaps of 65 s or more.
    static constexpr std::size_t bucket_count = 65;

    struct distribution
    {
        std::array<double, bucket_count> counts = {};
        double total = 0;
        instant last_token{};
    };

    milliseconds stall_timeout(const distribution& gaps) const;

    mutable ranked_mutex mutex_{lock_rank::streams};
    stall_limits limits_;
    std::map<upstream_id, distribution> engines_;
};

} // namespace anvillead
