#include "core/percent_encoding.h"

#include <algorithm>
#include <charconv>

namespace anvillead {

namespace {

constexpr std::size_t escape_digits = 2;
constexpr int hexadecimal = 16;

bool is_unreserved(char c)
{
    // Not std::isalnum, which depends on the locale.
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
           c == '_' || c == '~';
}

} // namespace

std::string percent_encode(std::string_view text, std::string_view also_kept)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (const char it : text) {
        if (is_unreserved(it) || also_kept.find(it) != std::string_view::npos) {
            out += it;
            continue;
        }
        const auto byte = static_cast<unsigned char>(it);
        out += '%';
        out += digits[byte / hexadecimal];
        out += digits[byte % hexadecimal];
    }
    return out;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    while (!text.empty()) {
        const auto plain = std::min(text.find('%'), text.size());
        out += text.substr(0, plain);
        text.remove_prefix(plain);
        if (text.empty()) {
            break;
        }
        const auto escape = text.substr(1, escape_digits);
        const char* const last = escape.data() + escape.size();
        unsigned char byte = 0;
        const auto [end, ec] = std::from_chars(escape.data(), last, byte, hexadecimal);
        if (escape.size() < escape_digits || ec != std::errc() || end != last) {
            return std::nullopt;
        }
        out += static_cast<char>(byte);
        text.remove_prefix(1 + escape_digits);
    }
    return out;
}

std::optional<std::string> decode_query_part(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return percent_decode(spaced);
}

} // namespace anvillead
