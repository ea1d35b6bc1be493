#include "streams/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace anvillead {

namespace {

// Maximum size of an event from an engine, which holds a few tokens.
constexpr std::size_t max_event_bytes = 32 * 1024;
constexpr std::string_view id_prefix = "id:";

std::optional<sequence_number> event_number(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        auto end = event.find('\n', begin);
        end = end == std::string_view::npos ? event.size() : end;
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (line.substr(0, id_prefix.size()) != id_prefix) {
            continue;
        }
        line.remove_prefix(id_prefix.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        sequence_number out = 0;
        const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), out);
        if (ec == std::errc() && last == line.data() + line.size()) {
            return out;
        }
    }
    return std::nullopt;
}

/// Returns the position after the blank line that ends the first event, or npos if there is none.
std::size_t event_end(std::string_view text, std::size_t from)
{
    const auto lf = text.find("\n\n", from);
    const auto crlf = text.find("\r\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return std::string_view::npos;
    }
    return crlf < lf ? crlf + 4 : lf + 2;
}

} // namespace

bool event_splitter::feed(std::string_view data)
{
    buffer_ += data;
    std::size_t begin = 0;
    while (true) {
        const auto end = event_end(buffer_, std::max(begin, searched_bytes_));
        if (end == std::string::npos) {
            break;
        }
        const auto event = std::string_view(buffer_).substr(begin, end - begin);
        on_event_(event, event_number(event));
        begin = end;
        searched_bytes_ = begin;
    }
    buffer_.erase(0, begin);
    // The last three bytes may be the beginning of a blank line.
    searched_bytes_ = buffer_.size() > 3 ? buffer_.size() - 3 : 0;
    return buffer_.size() <= max_event_bytes;
}

void event_splitter::drop_partial_event()
{
    buffer_.clear();
    searched_bytes_ = 0;
}

} // namespace anvillead
