#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace anvillead {

/// Maximum nesting depth. The CBOR reader and dump() recurse, so a deeper value could overflow the stack.
inline constexpr int json_depth_limit = 64;

/// Parses untrusted JSON text. Returns nothing for invalid or too deeply nested input.
std::optional<nlohmann::json> parse_bounded_json(std::string_view text, int depth_limit = json_depth_limit);
/// Whether `parse_bounded_json` would return a value, without the memory that the value takes.
bool is_bounded_json(std::string_view text, int depth_limit = json_depth_limit);
/// Parses untrusted CBOR data under the same limits.
std::optional<nlohmann::json> parse_bounded_cbor(std::string_view data);

} // namespace anvillead
