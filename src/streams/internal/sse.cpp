#include "streams/sse.h"

#include <utility>

#include <fmt/format.h>

namespace anvillead {

namespace {

// Maximum size of a line from an engine.
constexpr std::size_t max_line_bytes = 1024 * 1024;

} // namespace

std::string encode_sse(const stream_event& event)
{
    // The id comes last because some clients store it as the last event id as soon as its line has arrived. If the
    // connection broke within the data, such a client would resume after this event and lose it.
    return fmt::format("event: {}\ndata: {}\nid: {}\n\n", event.type, event.data, event.number);
}

std::string encode_sse_comment(std::string_view text)
{
    return fmt::format(": {}\n\n", text);
}

bool sse_parser::feed(std::string_view data)
{
    for (const char c : data) {
        if (std::exchange(skip_line_feed_, false) && c == '\n') {
            continue;
        }
        if (c == '\n' || c == '\r') {
            skip_line_feed_ = c == '\r';
            process_line(buffer_);
            buffer_.clear();
            continue;
        }
        buffer_ += c;
        if (buffer_.size() > max_line_bytes) {
            return false;
        }
    }
    return true;
}

void sse_parser::process_line(std::string_view text)
{
    if (text.empty()) {
        if (has_data_) {
            on_event_(type_.empty() ? "message" : type_, id_, data_);
        }
        type_.clear();
        data_.clear();
        has_data_ = false;
        return;
    }
    if (text.front() == ':') {
        return;
    }
    const auto colon = text.find(':');
    const auto field = text.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "event") {
        type_ = value;
    } else if (field == "id") {
        id_ = value;
    } else if (field == "data") {
        if (has_data_) {
            data_ += '\n';
        }
        data_ += value;
        has_data_ = true;
    }
}

} // namespace anvillead
