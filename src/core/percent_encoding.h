#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace anvillead {

/// Percent-encodes all bytes but the unreserved characters of RFC 3986, section 2.3, so that every reader of a path
/// segment or a query gets the same text back. Bytes in `also_kept` stay as they are.
std::string percent_encode(std::string_view text, std::string_view also_kept = {});

/// Decodes a path segment. Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text);

/// Decodes a name or value of a query, where a plus sign stands for a blank, as in HTML forms.
std::optional<std::string> decode_query_part(std::string_view text);

} // namespace anvillead
