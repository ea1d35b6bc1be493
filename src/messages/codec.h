#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Version of the protocol between the system's processes; other versions are refused.
inline constexpr int protocol_version = 3;

/// CBOR map {v, t, g, b}.
std::string encode(const envelope& value);
/// `protocol_violation` for anything that is not a complete, valid message of this version.
result<envelope> decode(std::string_view payload);
/// Bytes that a record takes inside a membership datagram.
std::size_t encoded_size(const member& value);
std::size_t encoded_size(const upstream_mark& value);
/// Wire name of a message's type, used in metrics and logs.
std::string_view message_type(const message& value);

} // namespace anvillead
