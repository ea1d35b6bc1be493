#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "streams/types/stream_event.h"

namespace anvillead {

/// Encodes an event as a server-sent event with `event`, `data` and `id` (the sequence number) lines.
std::string encode_sse(const stream_event& event);
/// Encodes a comment, which carries no event and keeps idle connections alive across intermediaries and slow links.
std::string encode_sse_comment(std::string_view text);

/// Incremental parser of an event stream as defined by the WHATWG HTML standard. Input may be fragmented at any byte.
class sse_parser
{
public:
    /// `on_event` receives the event type, the last `id` and the joined data lines.
    explicit sse_parser(std::function<void(std::string type, std::string id, std::string data)> on_event)
        : on_event_(std::move(on_event))
    {}

    /// Returns false once a line exceeds the size limit; the stream must then be closed.
    bool feed(std::string_view data);

private:
    void process_line(std::string_view text);

    std::function<void(std::string, std::string, std::string)> on_event_;
    std::string buffer_;
    std::string type_;
    std::string id_;
    std::string data_;
    bool has_data_ = false;
    bool skip_line_feed_ = false;
};

} // namespace anvillead
