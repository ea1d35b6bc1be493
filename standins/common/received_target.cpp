#include "standins/common/received_target.h"

#include <algorithm>
#include <cctype>

namespace standin {

namespace {

constexpr int hexadecimal = 16;

bool is_allowed(char c)
{
    constexpr std::string_view others = "-._~!$&'()*+,;=:@/?%";
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x80 && (std::isalnum(byte) != 0 || others.find(c) != std::string_view::npos);
}

std::optional<std::string> decode(std::string_view text, bool plus_is_blank)
{
    const auto is_digit = [&](std::size_t at) {
        return at < text.size() && std::isxdigit(static_cast<unsigned char>(text[at])) != 0;
    };
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            if (!is_digit(i + 1) || !is_digit(i + 2)) {
                return std::nullopt;
            }
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, hexadecimal));
            i += 2;
        } else {
            out += text[i] == '+' && plus_is_blank ? ' ' : text[i];
        }
    }
    return out;
}

/// Splits at each `separator`; an empty text has no parts.
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        out.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

} // namespace

std::string received_target::parameter(const std::string& name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::optional<received_target> parse_target(std::string_view target)
{
    if (target.empty() || target.front() != '/' || !std::all_of(target.begin(), target.end(), is_allowed)) {
        return std::nullopt;
    }
    received_target out;
    const auto query_mark = std::min(target.find('?'), target.size());
    for (const auto it : split(target.substr(1, query_mark - 1), '/')) {
        auto segment = decode(it, false);
        if (!segment) {
            return std::nullopt;
        }
        out.segments.push_back(std::move(*segment));
    }
    for (const auto it : split(target.substr(std::min(query_mark + 1, target.size())), '&')) {
        const auto equals_sign = std::min(it.find('='), it.size());
        auto name = decode(it.substr(0, equals_sign), true);
        auto value = decode(it.substr(std::min(equals_sign + 1, it.size())), true);
        if (!name || !value) {
            return std::nullopt;
        }
        out.query.emplace(std::move(*name), std::move(*value));
    }
    return out;
}

} // namespace standin
