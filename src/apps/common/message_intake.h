#pragma once

#include <optional>
#include <string>

#include "messages/codec.h"
#include "transport/ilink.h"

namespace anvillead {

/// Counts and logs a message that cannot be handled, and closes its link.
void reject_message(const link_ptr& link, const std::string& problem, metrics& counters);
/// The decoded message, counted as control traffic. A malformed one is rejected with `reject_message`.
std::optional<envelope> decode_or_reject(const link_ptr& link, const std::string& payload, metrics& counters);

} // namespace anvillead
