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

/// Brings the parts of a proposal into the platform before the `accepted` object names them, and removes parts that no
/// header names any more. Sans-I/O.
///
/// A part is removed only at the version that a header in force once recorded. A proposal rewrites each part that its
/// base does not name, which raises the version, so a removal by another agent fails from then on; an agent that
/// rewrote the part before its base was replaced cannot get its own proposal accepted.
class part_writer
{
public:
    enum class state
    {
        running,
        done,
        failed
    };

    /// Starts an attempt to store `parts` on top of the `accepted` object `base` of version `base_version`. Parts that
    /// an earlier attempt on the same base has written are not written again.
    /// `removable` are parts to remove with the attempt unless it uses them.
    /// `attempt` is above 0 and differs from those of all earlier calls.
    void begin(std::uint64_t attempt, const accepted_header& base, std::uint64_t base_version,
               const std::vector<part_ptr>& parts, const std::vector<part_reference>& removable);
    /// Calls to make now; at most a few are pending at a time.
    acceptance_actions next();
    void on_written(std::uint64_t attempt, const std::string& digest, const result<std::uint64_t>& version);
    void on_read(std::uint64_t attempt, const std::string& digest, const result<platform_object>& current);
    void on_removed(std::uint64_t attempt, const part_reference& part, const result<void>& removed);
    /// Answers of earlier attempts are ignored from now on.
    void abandon() { attempt_ = 0; }

    state current() const;
    /// All parts with their versions, once done.
    std::vector<part_reference> parts() const;
    /// Parts for the next agent to remove, once done.
    std::vector<part_reference> unused() const { return unused_; }

private:
    std::vector<part_reference> take_orphans(const accepted_header& base, std::uint64_t base_version);
    bool is_answer(std::uint64_t attempt);

    std::uint64_t attempt_ = 0;
    std::uint64_t base_version_ = 0;
    std::vector<part_ptr> parts_;
    /// Versions of parts that the base names or that were written on top of it.
    std::map<std::string, std::uint64_t> stored_;
    /// Subset of `stored_` that was written on top of the base.
    std::map<std::string, std::uint64_t> written_;
    std::deque<acceptance_action> queue_;
    std::size_t pending_ = 0;
    std::size_t conflicts_ = 0;
    bool failed_ = false;
    std::vector<part_reference> unused_;
};

} // namespace anvillead
