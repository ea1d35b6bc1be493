#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/types/units.h"

namespace anvillead {

/// Cuts the bytes of an event stream into whole events without changing them. Input may be cut at any byte.
class event_splitter
{
public:
    /// `on_event` gets the bytes of one event, its blank line included, and its number where it has one.
    using event_handler = std::function<void(std::string_view bytes, std::optional<sequence_number> number)>;

    explicit event_splitter(event_handler on_event) : on_event_(std::move(on_event)) {}

    /// False once an event exceeds the size limit; the stream must then be dropped.
    bool feed(std::string_view data);
    /// Bytes of an event that has not ended.
    bool has_partial_event() const { return !buffer_.empty(); }
    /// Drops a partial event, for a stream that goes on elsewhere.
    void drop_partial_event();

private:
    event_handler on_event_;
    std::string buffer_;
    /// Bytes of the buffer that were searched for the end of an event.
    std::size_t searched_ = 0;
};

} // namespace anvillead
