#include "core/json_slices.h"

#include <algorithm>
#include <charconv>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

/// Reads a container from its first character on, value by value.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : text_(text) {}

    /// Skips white space and then `expected`; returns whether it was there.
    bool skip(char expected)
    {
        skip_space();
        if (at_ >= text_.size() || text_[at_] != expected) {
            return false;
        }
        ++at_;
        return true;
    }

    bool at_end()
    {
        skip_space();
        return at_ == text_.size();
    }

    /// Returns the text of the next value, or nothing if it does not end.
    std::optional<std::string_view> value()
    {
        skip_space();
        const auto begin = at_;
        std::size_t depth = 0;
        while (at_ < text_.size()) {
            const char c = text_[at_];
            if (c == '"') {
                if (!skip_string()) {
                    return std::nullopt;
                }
            } else if (c == '{' || c == '[') {
                ++depth;
                ++at_;
            } else if (depth > 0 && (c == '}' || c == ']')) {
                --depth;
                ++at_;
            } else if (depth == 0 && (is_space(c) || c == ',' || c == ':' || c == '}' || c == ']')) {
                break;
            } else {
                ++at_;
                continue;
            }
            if (depth == 0) {
                break;
            }
        }
        if (depth > 0 || at_ == begin) {
            return std::nullopt;
        }
        return text_.substr(begin, at_ - begin);
    }

private:
    static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

    void skip_space()
    {
        while (at_ < text_.size() && is_space(text_[at_])) {
            ++at_;
        }
    }

    bool skip_string()
    {
        for (++at_; at_ < text_.size(); ++at_) {
            if (text_[at_] == '\\') {
                ++at_;
            } else if (text_[at_] == '"') {
                ++at_;
                return true;
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

constexpr std::uint32_t first_high_surrogate = 0xd800;
constexpr std::uint32_t first_low_surrogate = 0xdc00;
constexpr std::uint32_t last_low_surrogate = 0xdfff;

/// Takes an escape of four hexadecimal digits, which `text` begins with.
std::optional<std::uint32_t> take_code_unit(std::string_view& text)
{
    constexpr std::size_t length = 6;
    constexpr int hexadecimal = 16;
    std::uint32_t out = 0;
    const auto digits = text.size() < length ? std::string_view() : text.substr(2, length - 2);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), out, hexadecimal);
    if (digits.empty() || ec != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return out;
}

/// Takes an escape sequence, which `text` begins with, and returns its code point.
std::optional<std::uint32_t> take_escape(std::string_view& text)
{
    constexpr std::string_view names = "\"\\/bfnrt";
    constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
    if (text.size() < 2) {
        return std::nullopt;
    }
    if (text[1] != 'u') {
        const auto found = names.find(text[1]);
        text.remove_prefix(2);
        return found == std::string_view::npos
                   ? std::nullopt
                   : std::optional<std::uint32_t>(static_cast<unsigned char>(meanings[found]));
    }
    const auto first = take_code_unit(text);
    if (!first || *first < first_high_surrogate || *first >= first_low_surrogate || text.substr(0, 2) != "\\u") {
        return first;
    }
    auto rest = text;
    const auto second = take_code_unit(rest);
    if (!second || *second < first_low_surrogate || *second > last_low_surrogate) {
        return first;
    }
    text = rest;
    constexpr std::uint32_t first_supplementary = 0x10000;
    constexpr unsigned surrogate_bits = 10;
    return first_supplementary + ((*first - first_high_surrogate) << surrogate_bits) + (*second - first_low_surrogate);
}

void append_code_point(std::string& out, std::uint32_t code)
{
    // Lone surrogates that stand for one byte.
    constexpr std::uint32_t first_replaced = 0xdc80;
    constexpr std::uint32_t last_replaced = 0xdcff;
    constexpr unsigned trailing_bits = 6;
    constexpr std::uint32_t trailing_mask = 0x3f;
    constexpr std::uint32_t trailing_mark = 0x80;
    const auto append = [&out](std::uint32_t byte) { out += static_cast<char>(byte); };
    const auto append_trailing = [&](unsigned position) {
        append(trailing_mark | ((code >> (position * trailing_bits)) & trailing_mask));
    };
    if (code >= first_replaced && code <= last_replaced) {
        append(code - first_low_surrogate);
    } else if (code < 0x80) {
        append(code);
    } else if (code < 0x800) {
        append(0xc0 | (code >> trailing_bits));
        append_trailing(0);
    } else if (code < 0x10000) {
        append(0xe0 | (code >> (2 * trailing_bits)));
        append_trailing(1);
        append_trailing(0);
    } else {
        append(0xf0 | (code >> (3 * trailing_bits)));
        append_trailing(2);
        append_trailing(1);
        append_trailing(0);
    }
}

/// Calls `read_entry` for each entry between `open` and `close`; returns false as soon as one cannot be read.
template <typename Entry>
bool scan_container(json_scanner& scanner, char open, char close, Entry read_entry)
{
    if (!scanner.skip(open)) {
        return false;
    }
    if (scanner.skip(close)) {
        return scanner.at_end();
    }
    do {
        if (!read_entry()) {
            return false;
        }
    } while (scanner.skip(','));
    return scanner.skip(close) && scanner.at_end();
}

} // namespace

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text)
{
    std::vector<std::string_view> out;
    json_scanner scanner(text);
    const bool complete = scan_container(scanner, '[', ']', [&] {
        const auto value = scanner.value();
        out.push_back(value.value_or(std::string_view()));
        return value.has_value();
    });
    return complete ? std::optional(out) : std::nullopt;
}

bool visit_json_object(std::string_view text, const std::function<void(std::string_view, std::string_view)>& visit)
{
    json_scanner scanner(text);
    return scan_container(scanner, '{', '}', [&] {
        const auto key = scanner.value();
        const auto value = key && scanner.skip(':') ? scanner.value() : std::nullopt;
        if (!value) {
            return false;
        }
        visit(*key, *value);
        return true;
    });
}

std::optional<std::vector<std::pair<std::string, std::string_view>>> split_json_object(std::string_view text)
{
    std::vector<std::pair<std::string, std::string_view>> out;
    const bool complete = visit_json_object(text, [&out](std::string_view key, std::string_view value) {
        const auto name = parse_bounded_json(key);
        if (name && name->is_string()) {
            out.emplace_back(name->get<std::string>(), value);
        }
    });
    return complete ? std::optional(out) : std::nullopt;
}

bool is_json_key(std::string_view text, std::string_view key)
{
    // Each character of a key takes at most as many bytes of text as an escape.
    constexpr std::size_t escape_bytes = 6;
    if (text.size() < 2 || text.size() > escape_bytes * key.size() + 2) {
        return false;
    }
    if (text.find('\\') == std::string_view::npos) {
        return text.front() == '"' && text.substr(1, text.size() - 2) == key;
    }
    const auto name = parse_bounded_json(text);
    return name && name->is_string() && name->get<std::string>() == key;
}

std::string_view json_member(std::string_view object, std::string_view key)
{
    std::string_view out;
    const bool complete = visit_json_object(object, [&](std::string_view name, std::string_view value) {
        if (out.empty() && is_json_key(name, key)) {
            out = value;
        }
    });
    return complete ? out : std::string_view();
}

std::optional<std::string> json_string_bytes(std::string_view text)
{
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::string out;
    while (!text.empty()) {
        const auto plain = std::min(text.find('\\'), text.size());
        out += text.substr(0, plain);
        text.remove_prefix(plain);
        if (text.empty()) {
            break;
        }
        const auto code = take_escape(text);
        if (!code) {
            return std::nullopt;
        }
        append_code_point(out, *code);
    }
    return out;
}

} // namespace anvillead
