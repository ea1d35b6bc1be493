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

/// Reads the platform object of a part. The answer names the same attempt.
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

/// Conditional removal of a part that no header in force names.
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

/// Puts the configuration in force on this host.
struct apply_configuration
{
    accepted_configuration value;
};

/// Writes the status object unless it already has this content.
struct write_status
{
    nlohmann::json value;
};

/// Creates an audit object; it may exist already.
struct write_audit
{
    std::string name;
    nlohmann::json value;
};

using acceptance_action =
    std::variant<watch_collection, list_collection, read_accepted, read_part, write_part, remove_part, list_parts,
                 write_accepted, apply_configuration, write_status, write_audit>;
using acceptance_actions = std::vector<acceptance_action>;

/// This agent's part in following the platform, from the live members in rendezvous order.
struct acceptance_role
{
    /// A few agents per availability zone watch the collection; the others hear from peers.
    bool watches = false;
    /// Position among the watching agents; 0 accepts at once, others later.
    std::size_t rank = 0;
};

} // namespace anvillead
