#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace anvillead {

/// Splits the text of a JSON object while it arrives, without interpreting the values, as `split_json_object` does with
/// a whole text. One member is an array, whose elements are handed out one by one; at most one value is held at a time.
class json_object_splitter
{
public:
    struct hooks
    {
        /// Receives each other member; the key is the text of a JSON string. A value above the limit is empty.
        std::function<void(std::string_view key, std::string_view value)> on_member;
        /// Receives each element of the array. One above the limit is empty.
        std::function<void(std::string_view element)> on_element;
    };

    /// `array_key` is the name of the member that is split; only the first one counts.
    json_object_splitter(const std::string& array_key, std::size_t max_value_bytes, hooks callbacks);

    void feed(std::string_view text);
    /// Whether the text so far is a whole object that contains the array.
    bool complete() const { return state_ == state::end && array_seen_; }

private:
    enum class state
    {
        start,
        first_key,
        key,
        colon,
        value,
        after_value,
        first_element,
        element,
        after_element,
        end,
        invalid
    };
    /// What the value that is being read is.
    enum class role
    {
        key,
        member,
        element
    };

    void step(char c);
    void begin_value(role what, char c);
    /// Reads on in a value; returns false if `c` comes after its end.
    bool continue_value(char c);
    void end_value();

    std::string array_key_;
    std::size_t max_value_bytes_;
    hooks hooks_;
    state state_ = state::start;
    role role_ = role::key;
    std::string key_;
    std::string value_;
    std::size_t depth_ = 0;
    bool reading_value_ = false;
    bool in_string_ = false;
    bool escaped_ = false;
    bool oversized_ = false;
    bool array_seen_ = false;
};

} // namespace anvillead
