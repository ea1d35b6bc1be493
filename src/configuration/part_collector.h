#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/document.h"

namespace anvillead {

/// Maximum number of parts that one pull requests; the reply contains fewer if they are large.
inline constexpr std::size_t max_parts_per_pull = 64;

/// Collects the parts of an announced configuration from any source, and stores those of the active configuration for
/// reuse in the next one and for peers. Not thread-safe.
class part_assembler
{
public:
    /// Starts collecting the parts of `header` if its generation is higher than the active one and any that is being
    /// collected.
    void offer(const accepted_header& header);
    /// Adds a part if the configuration that is being collected names it.
    void add(const part_ptr& part);
    /// Stores a part that may be announced later, until another configuration becomes active.
    void add_to_cache(const part_ptr& part) { parts_[part->digest] = part; }
    /// Returns the collected configuration and makes it the active one, if all its parts are present.
    std::optional<accepted_configuration> take();
    /// Stops collecting; parts already received are kept.
    void cancel_pending() { pending_.reset(); }

    /// Generation that is being collected, or 0 if there is none.
    config_generation pending() const { return pending_ ? pending_->generation : 0; }
    /// Digests of missing parts, at most `limit`.
    std::vector<std::string> missing(std::size_t limit) const;
    /// Returns the part, or null if it is not present.
    part_ptr find(const std::string& digest) const;
    /// Returns the texts of these parts that are present, up to a size that fits into one message.
    std::vector<std::string> texts(const std::vector<std::string>& digests) const;
    /// Returns the texts to send with the active header: all parts of a small document, otherwise the changed ones.
    std::vector<std::string> changed_texts() const;

private:
    std::map<std::string, part_ptr> parts_;
    std::optional<accepted_header> pending_;
    config_generation generation_ = 0;
    /// Digests of the active configuration and of the previous one, which peers may still be collecting.
    std::vector<std::string> current_digests_;
    std::vector<std::string> previous_digests_;
};

} // namespace anvillead
