#include "core/json_object_splitter.h"

#include <utility>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

// Buffers above this size are not kept for the next value.
constexpr std::size_t max_kept_capacity = 64 * 1024;

bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// The text of a key with as few escapes as possible, so that keys can be compared.
std::string unescaped_key(std::string_view text)
{
    const auto key = text.find('\\') == std::string_view::npos ? std::nullopt : parse_bounded_json(text);
    return key && key->is_string() ? "\"" + key->get<std::string>() + "\"" : std::string(text);
}

} // namespace

json_object_splitter::json_object_splitter(const std::string& array_key, std::size_t max_value_bytes, hooks callbacks)
    : array_key_("\"" + array_key + "\""), max_value_bytes_(max_value_bytes), hooks_(std::move(callbacks))
{}

void json_object_splitter::feed(std::string_view text)
{
    for (const char c : text) {
        if (reading_value_ && continue_value(c)) {
            continue;
        }
        step(c);
    }
}

void json_object_splitter::step(char c)
{
    if (is_space(c) || state_ == state::invalid) {
        return;
    }
    switch (state_) {
    case state::start:
        state_ = c == '{' ? state::first_key : state::invalid;
        return;
    case state::first_key:
        if (c == '}') {
            state_ = state::end;
            return;
        }
        begin_value(role::key, c);
        return;
    case state::key:
        begin_value(role::key, c);
        return;
    case state::colon:
        state_ = c == ':' ? state::value : state::invalid;
        return;
    case state::value:
        if (!array_seen_ && c == '[' && key_ == array_key_) {
            array_seen_ = true;
            state_ = state::first_element;
            return;
        }
        begin_value(role::member, c);
        return;
    case state::after_value:
        state_ = c == ',' ? state::key : c == '}' ? state::end : state::invalid;
        return;
    case state::first_element:
        if (c == ']') {
            state_ = state::after_value;
            return;
        }
        begin_value(role::element, c);
        return;
    case state::element:
        begin_value(role::element, c);
        return;
    case state::after_element:
        state_ = c == ',' ? state::element : c == ']' ? state::after_value : state::invalid;
        return;
    case state::end:
    case state::invalid:
        state_ = state::invalid;
        return;
    }
}

void json_object_splitter::begin_value(role what, char c)
{
    const bool valid = what == role::key ? c == '"' : c != ',' && c != ':' && c != '}' && c != ']';
    if (!valid) {
        state_ = state::invalid;
        return;
    }
    role_ = what;
    reading_value_ = true;
    oversized_ = false;
    value_.clear();
    depth_ = 0;
    continue_value(c);
}

bool json_object_splitter::continue_value(char c)
{
    const bool scalar = depth_ == 0 && !in_string_;
    if (scalar && !value_.empty() && (is_space(c) || c == ',' || c == ':' || c == '}' || c == ']')) {
        end_value();
        return false;
    }
    if (value_.size() < max_value_bytes_) {
        value_ += c;
    } else {
        oversized_ = true;
    }
    if (in_string_) {
        in_string_ = escaped_ || c != '"';
        escaped_ = !escaped_ && c == '\\';
        if (!in_string_ && depth_ == 0) {
            end_value();
        }
    } else if (c == '"') {
        in_string_ = true;
        escaped_ = false;
    } else if (c == '{' || c == '[') {
        ++depth_;
    } else if (c == '}' || c == ']') {
        --depth_;
        if (depth_ == 0) {
            end_value();
        }
    }
    return true;
}

void json_object_splitter::end_value()
{
    reading_value_ = false;
    const auto text = oversized_ ? std::string_view() : std::string_view(value_);
    switch (role_) {
    case role::key:
        key_ = unescaped_key(text);
        state_ = state::colon;
        break;
    case role::member:
        state_ = state::after_value;
        hooks_.on_member(key_, text);
        break;
    case role::element:
        state_ = state::after_element;
        hooks_.on_element(text);
        break;
    }
    if (value_.capacity() > max_kept_capacity) {
        value_ = {};
    }
}

} // namespace anvillead
