#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvillead {

/// The values of a JSON container as text, found without interpreting them: one that cannot be parsed, because it is
/// nested too deeply, holds a number out of range or is no text, does not take the others with it. Views into the
/// input. Both functions return nothing if the bounds of the values cannot be found.
std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);
/// The keys are unescaped; members whose keys cannot be are left out.
std::optional<std::vector<std::pair<std::string, std::string_view>>> split_json_object(std::string_view text);
/// Calls `visit` with the text of each key and its value, and returns whether the bounds of all values were found.
bool visit_json_object(std::string_view text,
                       const std::function<void(std::string_view key, std::string_view value)>& visit);
/// Whether the text of a key stands for `key`.
bool is_json_key(std::string_view text, std::string_view key);
/// The text of a member of an object; empty if there is none or `object` is no object.
std::string_view json_member(std::string_view object, std::string_view key);

/// The bytes that the text of a JSON string stands for, also where they are no valid UTF-8: of a lone surrogate U+DC80
/// to U+DCFF, with which programs replace a byte that is no text, that byte, and of others their three bytes. Nothing
/// if `text` is no JSON string.
std::optional<std::string> json_string_bytes(std::string_view text);

} // namespace anvillead
