#pragma once

#include <string_view>

#include "core/metrics.h"
#include "messages/types/messages.h"
#include "transport/ilink.h"

namespace anvillead {

/// Encodes and sends a message, and counts it and its bytes by message type.
void send_counted(ilink& link, const envelope& value, metrics& counters);
void count_received(const envelope& value, std::size_t bytes, metrics& counters);
void count_sent(std::string_view kind, std::size_t bytes, metrics& counters);

} // namespace anvillead
