#pragma once

#include <string>
#include <string_view>

namespace anvillead {

/// The text in quotation marks as it may stand in a message: bytes other than printable ASCII as numbers, and cut after
/// 40 bytes.
std::string quote_printable(std::string_view text);

} // namespace anvillead
