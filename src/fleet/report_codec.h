#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/types/host_report.h"

namespace anvillead {

/// Maximum size in bytes of the entries in a datagram that contains several; fits into one packet on common networks.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// Encodes `value` as CBOR, and splits its entries into as few datagrams of `max_datagram_bytes` as possible, in order.
/// A single entry may be larger. Upstreams without work are omitted from full reports.
std::vector<std::string> encode_datagrams(const fleet_datagram& value);
/// Returns nothing for a datagram that is not a report datagram of this version.
std::optional<fleet_datagram> decode_datagram(std::string_view datagram);

std::string encode_summary(const fleet_summary& value);
/// Returns nothing for a datagram that is not a summary of this version.
std::optional<fleet_summary> decode_summary(std::string_view datagram);

} // namespace anvillead
