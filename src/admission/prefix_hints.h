#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "admission/types/affinity_settings.h"
#include "core/types/ids.h"

namespace anvillead {

/// Records which engines probably hold which prompt prefixes, from this scheduler's placements and from cache events.
/// The table is bounded: it drops the least recently recorded prefix, and the least recently recorded engine of a
/// prefix.
class prefix_hints
{
public:
    explicit prefix_hints(const affinity_settings& settings) : settings_(settings) {}

    /// Records that the engine stored or used the prefix at this time.
    void record(instant at, const upstream_id& engine, std::uint64_t prefix);
    /// Removes the hint after the engine evicted the prefix at this time, unless the hint is newer.
    void evict(instant at, const upstream_id& engine, std::uint64_t prefix);
    /// Removes all hints of an engine that lost its cache.
    void remove_engine(const upstream_id& engine);
    /// 1 for a hint recorded now, falling linearly to 0 at the end of its lifetime; 0 without a hint.
    double weight(instant now, const upstream_id& engine, std::uint64_t prefix) const;
    /// Number of prefixes with hints.
    std::size_t size() const { return entries_.size(); }

private:
    struct hint
    {
        upstream_id engine;
        instant recorded_at;
    };

    struct entry
    {
        std::vector<hint> hints;
        std::list<std::uint64_t>::iterator position;
    };

    using entries = std::unordered_map<std::uint64_t, entry>;

    entries::iterator erase(entries::iterator at);
    /// Removes the engine's hints up to the time `latest`; returns false if the entry has no hints left.
    static bool remove_hints(entry& value, const upstream_id& engine, instant latest);

    affinity_settings settings_;
    entries entries_;
    /// Prefixes, the most recently recorded one first.
    std::list<std::uint64_t> recent_;
};

} // namespace anvillead
