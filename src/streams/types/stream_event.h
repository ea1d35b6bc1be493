#pragma once

#include <string>

#include "core/types/units.h"

namespace anvillead {

/// A server-sent event of a generation's stream.
struct stream_event
{
    /// Responses API event type, such as "response.output_text.delta".
    std::string type;
    sequence_number number = 0;
    /// JSON text of the event.
    std::string data;
};

inline constexpr const char* event_created = "response.created";
inline constexpr const char* event_delta = "response.output_text.delta";
inline constexpr const char* event_completed = "response.completed";
inline constexpr const char* event_incomplete = "response.incomplete";
inline constexpr const char* event_failed = "response.failed";

/// Returns whether the event ends its stream.
inline bool is_final(const stream_event& event)
{
    return event.type == event_completed || event.type == event_incomplete || event.type == event_failed;
}

} // namespace anvillead
