#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace anvillead {

/// Deepest nesting that is accepted. The CBOR reader and dump() recurse, so a deep value would overflow the stack.
inline constexpr int json_depth_limit = 64;

/// Parses JSON text from outside; nothing for invalid or too deeply nested text.
std::optional<nlohmann::json> parse_bounded_json(std::string_view text);
/// The same for CBOR.
std::optional<nlohmann::json> parse_bounded_cbor(std::string_view data);

} // namespace anvillead
