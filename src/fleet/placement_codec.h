#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/types/placement.h"

namespace anvillead {

/// A placement request with the host that sends it.
struct sent_request
{
    host_id asker;
    placement_request question;
};

/// CBOR encoding of the datagrams between a host and the scheduler of a service. Each decoder returns nothing for a
/// datagram of another kind.
std::string encode_request(const sent_request& value);
std::optional<sent_request> decode_request(std::string_view datagram);
std::string encode_response(const placement_response& value);
std::optional<placement_response> decode_response(std::string_view datagram);

} // namespace anvillead
