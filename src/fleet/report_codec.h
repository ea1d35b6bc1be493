#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fleet/types/host_report.h"

namespace anvillead {

/// CBOR text of a report. Upstreams without work are left out.
std::string encode_report(const host_report& value);
/// Nothing for a datagram that is not a report.
std::optional<host_report> decode_report(std::string_view datagram);

} // namespace anvillead
