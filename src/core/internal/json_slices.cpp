#include "core/json_slices.h"

#include <algorithm>

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

std::optional<std::vector<std::pair<std::string, std::string_view>>> split_json_object(std::string_view text)
{
    std::vector<std::pair<std::string, std::string_view>> out;
    json_scanner scanner(text);
    const bool complete = scan_container(scanner, '{', '}', [&] {
        const auto key = scanner.value();
        const auto value = key && scanner.skip(':') ? scanner.value() : std::nullopt;
        if (!value) {
            return false;
        }
        const auto name = parse_bounded_json(*key);
        if (name && name->is_string()) {
            out.emplace_back(name->get<std::string>(), *value);
        }
        return true;
    });
    return complete ? std::optional(out) : std::nullopt;
}

std::string_view json_member(std::string_view object, std::string_view key)
{
    const auto members = split_json_object(object);
    if (!members) {
        return {};
    }
    const auto found =
        std::find_if(members->begin(), members->end(), [key](const auto& it) { return it.first == key; });
    return found == members->end() ? std::string_view() : found->second;
}

} // namespace anvillead
