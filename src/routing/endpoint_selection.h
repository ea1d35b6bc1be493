#pragma once

#include <string>
#include <vector>

#include "membership/types/member.h"

namespace anvillead {

/// Request for the addresses of gateways.
struct endpoint_query
{
    /// Any string. Callers with different keys get the gateways in different orders, which spreads their load.
    std::string spread_key;
    /// Zone of the caller, whose hosts come first; empty when unknown.
    zone_name availability_zone;
    /// Maximum number of addresses in the answer.
    std::size_t most = 16;
};

/// A gateway in the response of /v1/endpoints.
struct endpoint
{
    std::string address;
    zone_name availability_zone;
};

/// Returns gateways in the order in which the caller should try them. Leaving and dead hosts are excluded; suspected
/// hosts come last.
std::vector<endpoint> select_endpoints(const std::vector<member>& members, const endpoint_query& query);

} // namespace anvillead
