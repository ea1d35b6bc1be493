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
        /// When the state last changed here.
        instant changed{};
        /// Value of revision() when the record last changed.
        std::uint64_t revision = 0;
    };

    explicit member_table(std::size_t limit) : limit_(limit) {}

    /// Merges a record: higher incarnation, then higher version, then the more severe state wins; leaving stays set
    /// within an incarnation. Returns true when the stored record changed.
    bool merge(const member& value, instant now);
    /// Replaces the record without comparing; for a process's own record.
    void replace(const member& value, instant now);
    const member* find(const host_id& host) const;
    const entry* find_entry(const host_id& host) const;
    /// Remembers the generation that the member itself announced, outside its versioned record.
    void note_generation(const host_id& host, config_generation generation);
    /// Restarts the time of all suspicions; for use after a pause of this process.
    void restart_suspicions(instant now);
    void drop_dead_before(instant limit);

    const std::map<host_id, entry>& entries() const { return entries_; }
    std::uint64_t revision() const { return revision_; }
    /// Hash over the records that are not dead.
    std::uint64_t digest() const;

private:
    bool make_room();

    std::map<host_id, entry> entries_;
    std::size_t limit_;
    std::uint64_t revision_ = 0;
    mutable std::uint64_t digest_ = 0;
    mutable std::uint64_t digest_revision_ = 0;
};

/// The state that other processes act on: dead, else leaving, else alive or suspect.
member_state effective_state(const member& value);

} // namespace anvillead
