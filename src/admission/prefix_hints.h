#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "admission/types/affinity_settings.h"
#include "core/types/ids.h"

namespace anvillead {

/// Which engines probably hold which prompt prefixes, from own placements and cache events. The table is bounded: the
/// prefix noted longest ago gives way, and for one prefix the engine noted longest ago.
class prefix_hints
{
public:
    explicit prefix_hints(const affinity_settings& settings) : settings_(settings) {}

    /// The engine stored or used the prefix at this time.
    void note(instant at, const upstream_id& engine, std::uint64_t prefix);
    /// The engine evicted the prefix at this time; a hint from later stays.
    void evict(instant at, const upstream_id& engine, std::uint64_t prefix);
    /// The engine lost its cache.
    void forget(const upstream_id& engine);
    /// 1 for a hint of this moment, falling evenly to 0 at the end of its life; 0 without a hint.
    double weight(instant now, const upstream_id& engine, std::uint64_t prefix) const;
    /// Number of prefixes with hints.
    std::size_t size() const { return entries_.size(); }

private:
    struct hint
    {
        upstream_id engine;
        instant noted;
    };

    struct entry
    {
        std::vector<hint> hints;
        std::list<std::uint64_t>::iterator place;
    };

    using entries = std::unordered_map<std::uint64_t, entry>;

    entries::iterator erase(entries::iterator at);
    /// False when no hint of the entry is left.
    static bool remove(entry& value, const upstream_id& engine, instant latest);

    affinity_settings settings_;
    entries entries_;
    /// Prefixes, the one noted last at the front.
    std::list<std::uint64_t> recent_;
};

} // namespace anvillead
