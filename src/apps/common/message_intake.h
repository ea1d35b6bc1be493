#pragma once

#include <optional>
#include <string>

#include "messages/codec.h"
#include "transport/ilink.h"

namespace anvillead {

/// Counts and logs an invalid message and closes its link.
void reject_message(const link_ptr& link, const std::string& problem, metrics& counters);
/// Decodes a message and counts it as control traffic. Rejects a malformed one with `reject_message`.
std::optional<envelope> decode_or_reject(const link_ptr& link, const std::string& payload, metrics& counters);

} // namespace anvillead
