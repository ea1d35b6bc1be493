#include "quarantine/types/request_trait.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view whole_request_prefix = "request:";
constexpr std::size_t hex_digits_of_half = 16;

/// Appends a field with its length, so that no two lists of fields have the same text.
void append(std::string& out, std::string_view field)
{
    out += fmt::format("{}:", field.size());
    out += field;
}

std::uint64_t read_half(std::string_view bytes)
{
    constexpr unsigned bits_of_byte = 8;
    std::uint64_t out = 0;
    for (const char it : bytes) {
        out = (out << bits_of_byte) | static_cast<unsigned char>(it);
    }
    return out;
}

bool parse_hex(std::string_view text, std::uint64_t& out)
{
    constexpr int hexadecimal = 16;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, hexadecimal);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

request_trait trait_of(prompt_part_id part)
{
    return {trait_kind::prompt_part, 0, static_cast<std::uint64_t>(part)};
}

request_trait trait_of(const request_identity& value)
{
    std::string text;
    text.reserve(value.method.size() + value.host.size() + value.target.size() + value.body.size() +
                 4 * hex_digits_of_half);
    append(text, value.method);
    append(text, value.host);
    append(text, value.target);
    append(text, value.body);
    const auto digest = hmac_sha256(value.organisation.str(), text);
    constexpr std::size_t half = sizeof(std::uint64_t);
    const std::string_view bytes = digest;
    return {trait_kind::whole_request, read_half(bytes.substr(0, half)), read_half(bytes.substr(half, half))};
}

request_traits traits_of(const request_identity& whole, const std::vector<prompt_part_id>& prompt)
{
    request_traits out = {trait_of(whole)};
    for (const auto it : prompt) {
        out.push_back(trait_of(it));
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

std::string format_traits(const request_traits& traits)
{
    std::string out;
    for (const auto& it : traits) {
        out += out.empty() ? "" : ",";
        out += it.kind == trait_kind::whole_request
                   ? fmt::format("{}{:016x}{:016x}", whole_request_prefix, it.high, it.low)
                   : fmt::format("{:x}", it.low);
    }
    return out;
}

bool parse_trait(std::string_view text, request_trait& out)
{
    if (text.substr(0, whole_request_prefix.size()) != whole_request_prefix) {
        out = {trait_kind::prompt_part, 0, 0};
        return parse_hex(text, out.low);
    }
    const auto digits = text.substr(whole_request_prefix.size());
    out = {trait_kind::whole_request, 0, 0};
    return digits.size() == 2 * hex_digits_of_half && parse_hex(digits.substr(0, hex_digits_of_half), out.high) &&
           parse_hex(digits.substr(hex_digits_of_half), out.low);
}

} // namespace anvillead
