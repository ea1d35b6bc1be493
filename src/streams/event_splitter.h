#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/types/units.h"

namespace anvillead {

/// Splits the bytes of an event stream into complete events without changing them. Input may be fragmented at any byte.
class event_splitter
{
public:
    /// `on_event` receives the bytes of one event including its blank line, and its number if it has one.
    using event_handler = std::function<void(std::string_view bytes, std::optional<sequence_number> number)>;

    explicit event_splitter(event_handler on_event) : on_event_(std::move(on_event)) {}

    /// Returns false once an event exceeds the size limit; the stream must then be closed.
    bool feed(std::string_view data);
    /// Returns whether the buffer holds the beginning of an incomplete event.
    bool has_partial_event() const { return !buffer_.empty(); }
    /// Discards an incomplete event, for a stream that continues on another connection.
    void drop_partial_event();

private:
    event_handler on_event_;
    std::string buffer_;
    /// Number of buffered bytes that were already searched for the end of an event.
    std::size_t searched_bytes_ = 0;
};

} // namespace anvillead
