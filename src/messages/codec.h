#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Version of the protocol between processes of the fleet; messages of other versions are rejected.
inline constexpr int protocol_version = 3;

/// Encodes an envelope as the CBOR map {v, t, g, b}: version, type, generation and body.
std::string encode(const envelope& value);
/// Returns a `protocol_violation` error for anything that is not a complete, valid message of this version.
result<envelope> decode(std::string_view payload);
/// Encoded size in bytes of a record in a membership datagram.
std::size_t encoded_size(const member& value);
std::size_t encoded_size(const upstream_leave_status& value);
/// Name of a message's type in metrics and logs.
std::string_view message_type(const message& value);

} // namespace anvillead
