#pragma once

#include <memory>

#include "dispatch/types/caller_request.h"
#include "dispatch/types/route_table.h"
#include "transport/http_types.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// A caller's request that the configuration allows, with everything that its handling needs.
struct admitted_request
{
    http_request message;
    caller_request caller;
    std::shared_ptr<ihttp_exchange> exchange;
    /// Keeps the configuration alive under which the request was admitted.
    std::shared_ptr<const route_table> table;
    const route* way = nullptr;
    service_name service;
    organisation_id organisation;
    /// 0 is the most urgent.
    int priority = 0;
    instant arrived{};
    /// The final answer is due; unset when neither the caller nor the route sets a bound.
    instant deadline = instant::max();
};

} // namespace anvillead
