#pragma once

#include <string>
#include <vector>

#include "membership/types/member.h"

namespace anvillead {

/// Who asks for addresses.
struct endpoint_query
{
    /// Any text; callers with different texts get different orders.
    std::string spread_key;
    /// Hosts of this availability zone come first; empty when unknown.
    zone_name availability_zone;
    std::size_t most = 16;
};

/// Address of a gateway in an answer of /v1/endpoints.
struct endpoint
{
    std::string address;
    zone_name availability_zone;
};

/// Gateways in the order in which the caller should try them. Leaving and dead hosts are never listed; suspected hosts
/// come after all others.
std::vector<endpoint> select_endpoints(const std::vector<member>& members, const endpoint_query& query);

} // namespace anvillead
