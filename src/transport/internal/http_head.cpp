#include "transport/internal/http_head.h"

#include <cctype>

#include <fmt/format.h>

#include "core/quoted_text.h"

namespace anvillead {

namespace {

namespace http = boost::beast::http;

bool is_name_byte(char value)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(value)) != 0 || others.find(value) != std::string_view::npos;
}

bool is_value_byte(char value)
{
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(value);
    return value == '\t' || (byte >= ' ' && byte != del);
}

template <typename Predicate>
std::string describe_byte(std::string_view text, Predicate is_allowed)
{
    const auto found = std::find_if_not(text.begin(), text.end(), is_allowed);
    return found == text.end() ? std::string() : fmt::format("byte 0x{:02x}", static_cast<unsigned char>(*found));
}

// A target with other bytes would end the request line (RFC 9112, section 3).
bool is_target_byte(char value)
{
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(value);
    return byte > ' ' && byte != del;
}

std::string_view name_of(std::string_view line)
{
    return line.substr(0, line.find(':'));
}

} // namespace

bool is_protocol_error(const boost::system::error_code& ec)
{
    return ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::need_more &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

std::string describe_invalid_line(std::string_view text, bool is_start_line)
{
    auto line = text.substr(0, text.find('\n'));
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (is_start_line) {
        return fmt::format("start line {}", quote_printable(line));
    }
    const auto name = name_of(line);
    if (name.size() == line.size()) {
        return fmt::format("line {} without a colon", quote_printable(line));
    }
    if (name.empty()) {
        return "a field without a name";
    }
    if (const auto byte = describe_byte(name, is_name_byte); !byte.empty()) {
        return fmt::format("{} in the name of field {}", byte, quote_printable(name));
    }
    if (const auto byte = describe_byte(line.substr(name.size() + 1), is_value_byte); !byte.empty()) {
        return fmt::format("{} in the value of field {}", byte, quote_printable(name));
    }
    return fmt::format("field {}", quote_printable(name));
}

std::string find_invalid_part(const std::string& target, const http_headers& headers)
{
    if (const auto byte = describe_byte(target, is_target_byte); !byte.empty()) {
        return fmt::format("{} in the target {}", byte, quote_printable(target));
    }
    for (const auto& [name, value] : headers) {
        if (const auto byte = describe_byte(name, is_name_byte); name.empty() || !byte.empty()) {
            return fmt::format("{} in the name of field {}", byte, quote_printable(name));
        }
        if (const auto byte = describe_byte(value, is_value_byte); !byte.empty()) {
            return fmt::format("{} in the value of field {}", byte, quote_printable(name));
        }
    }
    return {};
}

std::string find_continued_line(std::string_view lines)
{
    std::size_t begin = 0;
    for (auto end = lines.find('\n'); end != std::string_view::npos && end + 1 < lines.size();
         end = lines.find('\n', begin)) {
        const char next = lines[end + 1];
        if (next == ' ' || next == '\t') {
            return fmt::format("byte 0x{:02x} at the beginning of the line after field {}",
                               static_cast<unsigned char>(next),
                               quote_printable(name_of(lines.substr(begin, end - begin))));
        }
        begin = end + 1;
    }
    return {};
}

} // namespace anvillead
