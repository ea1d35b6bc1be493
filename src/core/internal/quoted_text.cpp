#include "core/quoted_text.h"

#include <fmt/format.h>

namespace anvillead {

std::string quote_printable(std::string_view text)
{
    constexpr std::size_t max_quoted_bytes = 40;
    std::string out = "\"";
    for (const char it : text.substr(0, max_quoted_bytes)) {
        const bool is_printable = it >= ' ' && it <= '~';
        out += is_printable ? std::string(1, it) : fmt::format("[0x{:02x}]", static_cast<unsigned char>(it));
    }
    return out + '"';
}

} // namespace anvillead
