#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "core/result.h"

namespace anvillead {

/// Largest text of a part that holds more than one item. A single item is never divided: it comes from one file, which
/// the platform's value limit bounds.
inline constexpr std::size_t part_bytes = 256 * 1024;

/// Texts of the document's parts in merge order. Where a part ends depends on the names in it, so a changed item
/// changes one part and an added or removed one at most two.
std::vector<std::string> split_document(const document& value);
/// Parses a part; `protocol_violation` when the text is not one.
result<part_ptr> parse_part(std::string text);
/// The document that consists of these parts.
document join_parts(const std::vector<part_ptr>& parts);
/// A complete configuration from a document, with parts that no platform object holds.
accepted_configuration make_accepted(config_generation generation, std::string digest, const document& value);
/// Texts of the parts of a configuration.
std::vector<std::string> part_texts(const accepted_configuration& value);

} // namespace anvillead
