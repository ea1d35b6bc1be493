#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/document.h"

namespace anvillead {

/// Most parts that one pull asks for; its answer holds fewer when they are large.
inline constexpr std::size_t part_pull_limit = 64;

/// Collects the parts of an announced configuration, from whatever source has them, and keeps those of the
/// configuration in force for the next one and for peers. Not thread-safe.
class part_collector
{
public:
    /// Begins collecting unless the header's generation is in force or a higher one is being collected.
    void offer(const accepted_header& header);
    /// Takes a part that is missing; others are ignored.
    void add(const part_ptr& part);
    /// Keeps a part that may be announced later, until another configuration is in force.
    void keep(const part_ptr& part) { parts_[part->digest] = part; }
    /// The configuration in force from now on, once all its parts are here.
    std::optional<accepted_configuration> take();
    /// Forgets the announced configuration; its parts stay.
    void give_up() { pending_.reset(); }

    /// Generation that is being collected; 0 for none.
    config_generation pending() const { return pending_ ? pending_->generation : 0; }
    /// Digests of at most `limit` parts that are not here yet.
    std::vector<std::string> missing(std::size_t limit) const;
    /// A part that is here, or null.
    part_ptr find(const std::string& digest) const;
    /// Texts of the named parts that are here, up to a size that fits into one message.
    std::vector<std::string> texts(const std::vector<std::string>& digests) const;
    /// Texts that go along with the header in force: all parts of a small document, otherwise the changed ones.
    std::vector<std::string> changed_texts() const;

private:
    std::map<std::string, part_ptr> parts_;
    std::optional<accepted_header> pending_;
    config_generation generation_ = 0;
    /// Digests of the configuration in force and of the one before: peers may still collect the latter.
    std::vector<std::string> current_;
    std::vector<std::string> previous_;
};

} // namespace anvillead
