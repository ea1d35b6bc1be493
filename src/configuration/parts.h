#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "core/result.h"

namespace anvillead {

/// Maximum text size of a part with more than one item. A single item is never divided; its size is limited because it
/// comes from one file, which must fit into one platform value.
inline constexpr std::size_t max_part_bytes = 256 * 1024;

/// Splits a document into the texts of its parts, in merge order. Part boundaries depend on the names of items, so a
/// changed item changes one part, and an added or removed item at most two.
std::vector<std::string> split_document(const document& value);
/// Parses a part. Returns `protocol_violation` for an invalid text.
result<part_ptr> parse_part(std::string text);
/// Joins the parts to a document.
document join_parts(const std::vector<part_ptr>& parts);
/// Makes an accepted configuration from a document whose parts are not stored in the platform.
accepted_configuration make_accepted(config_generation generation, std::string digest, const document& value);
/// Returns the texts of the parts of a configuration.
std::vector<std::string> part_texts(const accepted_configuration& value);

} // namespace anvillead
