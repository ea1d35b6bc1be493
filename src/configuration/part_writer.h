#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "configuration/types/acceptance_action.h"
#include "core/result.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Writes the parts of a proposal to the platform before the `accepted` object references them, and removes parts that
/// no header references any more. Sans-I/O.
///
/// A part is removed only at the version that an accepted header recorded. A proposal rewrites each part that its base
/// does not reference. That raises the version, so a removal by another agent fails from then on. An agent that rewrote
/// the part before its base was replaced cannot get its own proposal accepted.
class part_writer
{
public:
    enum class state
    {
        running,
        done,
        failed
    };

    /// Starts an attempt to store `parts` for a proposal based on the `accepted` object `base` of version
    /// `base_version`. Parts that an earlier attempt with the same base has written are not written again.
    /// `removable` are parts to remove with the attempt unless it uses them.
    /// `attempt` must be greater than 0 and differ from those of all earlier calls.
    void begin(std::uint64_t attempt, const accepted_header& base, std::uint64_t base_version,
               const std::vector<part_ptr>& parts, const std::vector<part_reference>& removable);
    /// Returns the calls to start now; only a few are pending at a time.
    acceptance_actions next_calls();
    void on_written(std::uint64_t attempt, const std::string& digest, const result<std::uint64_t>& version);
    void on_read(std::uint64_t attempt, const std::string& digest, const result<platform_object>& current);
    void on_removed(std::uint64_t attempt, const part_reference& part, const result<void>& removed);
    /// Ends the attempt; results of its calls are ignored from now on.
    void abandon() { attempt_ = 0; }

    state current_state() const;
    /// All parts with their versions. Valid in the state `done`.
    std::vector<part_reference> parts() const;
    /// Parts that the next accepting agent removes. Valid in the state `done`.
    std::vector<part_reference> unused() const { return unused_; }

private:
    std::vector<part_reference> take_orphans(const accepted_header& base, std::uint64_t base_version);
    /// Counts the call as completed; false for a call of an earlier attempt.
    bool accept_answer(std::uint64_t attempt);

    std::uint64_t attempt_ = 0;
    std::uint64_t base_version_ = 0;
    std::vector<part_ptr> parts_;
    /// Versions of parts that the base references or that were written for a proposal based on it.
    std::map<std::string, std::uint64_t> stored_;
    /// Subset of `stored_` that was written for a proposal based on it.
    std::map<std::string, std::uint64_t> written_;
    std::deque<acceptance_action> queue_;
    std::size_t pending_ = 0;
    std::size_t conflicts_ = 0;
    bool failed_ = false;
    std::vector<part_reference> unused_;
};

} // namespace anvillead
