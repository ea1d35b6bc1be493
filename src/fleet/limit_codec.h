#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/upstream_limits.h"

namespace anvillead {

/// CBOR encoding of the datagrams about rates that upstreams have named. Times travel as ages.

/// Splits the values into datagrams that each fit into one packet.
std::vector<std::string> encode_limits(instant now, const std::vector<upstream_limit>& values);
/// Returns nothing for a datagram of another kind.
std::optional<std::vector<upstream_limit>> decode_limits(instant now, std::string_view datagram);

/// Asks the owner of an upstream's rate for one request.
struct rate_request
{
    host_id asker;
    std::uint64_t number = 0;
    /// What the asker knows of the limit, in case the owner does not know it yet.
    upstream_limit limit;
};

/// The answer to a rate request.
struct rate_response
{
    std::uint64_t number = 0;
    /// Zero if the request may be sent, otherwise the time until the next one may be.
    milliseconds wait{0};
};

/// Tells the owner of a brittle upstream that a request there has ended.
struct slot_release
{
    upstream_id upstream;
    /// The upstream has turned it away.
    bool refused = false;
};

std::string encode_slot_release(const slot_release& value);
std::optional<slot_release> decode_slot_release(std::string_view datagram);

std::string encode_rate_request(instant now, const rate_request& value);
std::optional<rate_request> decode_rate_request(instant now, std::string_view datagram);
std::string encode_rate_response(const rate_response& value);
std::optional<rate_response> decode_rate_response(std::string_view datagram);

} // namespace anvillead
