#pragma once

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/types/document.h"

namespace anvillead {

/// Long poll of the `config/` collection.
struct watch_collection
{
    std::uint64_t after = 0;
};

struct list_collection
{};

struct read_accepted
{};

/// Reads the platform object of a part. The result is passed back with the same attempt.
struct read_part
{
    std::uint64_t attempt = 0;
    std::string digest;
};

/// Conditional write of the platform object of a part.
struct write_part
{
    std::uint64_t attempt = 0;
    part_ptr part;
    std::uint64_t if_version = 0;
};

/// Conditional removal of a part that the active header does not reference.
struct remove_part
{
    std::uint64_t attempt = 0;
    part_reference part;
};

/// Lists the platform objects of all parts.
struct list_parts
{};

/// Conditional update of the `accepted` object.
struct write_accepted
{
    accepted_header value;
    std::uint64_t if_version = 0;
};

/// Makes the configuration active on this host.
struct apply_configuration
{
    accepted_configuration value;
};

/// Writes the status object unless it already has this content.
struct write_status
{
    nlohmann::json value;
};

/// Creates an audit object, which may already exist.
struct write_audit
{
    std::string name;
    nlohmann::json value;
};

using acceptance_action =
    std::variant<watch_collection, list_collection, read_accepted, read_part, write_part, remove_part, list_parts,
                 write_accepted, apply_configuration, write_status, write_audit>;
using acceptance_actions = std::vector<acceptance_action>;

/// Role of this agent in following the platform, derived from the rendezvous order of the live members.
struct acceptor_role
{
    /// The agent watches the collection. A few agents per availability zone do so; the others learn of changes from
    /// peers.
    bool watches = false;
    /// Position among the watching agents. Rank 0 accepts changes immediately, higher ranks after a delay.
    std::size_t rank = 0;
};

} // namespace anvillead
