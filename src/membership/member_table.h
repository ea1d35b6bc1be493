#pragma once

#include <map>
#include <optional>
#include <vector>

#include "membership/types/member.h"

namespace anvillead {

/// Records of all members. Merging is commutative, associative and idempotent, so the order in which records arrive
/// does not matter and an old record never replaces a newer one.
class member_table
{
public:
    struct entry
    {
        member record;
        /// Local time of the last change of the state.
        instant state_changed_at{};
        /// Value of revision() when the record last changed.
        std::uint64_t revision = 0;
    };

    explicit member_table(std::size_t limit) : limit_(limit) {}

    /// Merges a record: the higher incarnation wins, then the higher version, then the more severe state. `leaving`
    /// stays set within an incarnation. Returns true if the stored record changed.
    bool merge(const member& value, instant now);
    /// Replaces the record unconditionally; used for a host's own record.
    void replace(const member& value, instant now);
    const member* find(const host_id& host) const;
    const entry* find_entry(const host_id& host) const;
    /// Raises the configuration generation that the member announced. It is not part of the versioned record.
    void update_generation(const host_id& host, config_generation generation);
    /// Restarts the timers of all suspicions; used after a pause of this process.
    void restart_suspicion_timers(instant now);
    /// Removes the members that have been dead since before `cutoff`.
    void remove_dead_before(instant cutoff);

    const std::map<host_id, entry>& entries() const { return entries_; }
    std::uint64_t revision() const { return revision_; }
    /// Hash of all records that are not dead.
    std::uint64_t digest() const;

private:
    /// Returns false if no member is dead.
    bool evict_oldest_dead();

    std::map<host_id, entry> entries_;
    std::size_t limit_;
    std::uint64_t revision_ = 0;
    mutable std::uint64_t digest_ = 0;
    mutable std::uint64_t digest_revision_ = 0;
};

/// State of the member as published to other processes: dead, otherwise leaving, otherwise alive or suspect.
member_state effective_state(const member& value);

} // namespace anvillead
