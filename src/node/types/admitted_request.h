#pragma once

#include <memory>

#include "dispatch/types/caller_request.h"
#include "dispatch/types/route_table.h"
#include "quarantine/types/request_trait.h"
#include "transport/http_types.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// A caller's request that passed admission, with the route, service and organisation that it resolved to.
struct admitted_request
{
    /// Without its body.
    http_request message;
    /// Held once, however often it is sent.
    std::shared_ptr<const std::string> body;
    caller_request caller;
    std::shared_ptr<ihttp_exchange> exchange;
    /// The configuration under which the request was admitted; owns what `matched_route` points to.
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;
    service_name service;
    organisation_id organisation;
    /// What it may have in common with other requests.
    request_traits traits;
    /// 0 is the most urgent.
    int priority = 0;
    /// Another host has passed the request on, because it has no path to upstreams.
    bool forwarded = false;
    /// Counts the request among those of other hosts for as long as it lives.
    std::shared_ptr<void> forwarded_slot;
    instant arrived{};
    /// When the complete answer is due; `instant::max()` when neither the caller nor the route sets a time limit.
    instant deadline = instant::max();

    /// Longest time that a plain call without a deadline is expected to take.
    static constexpr milliseconds call_time_without_deadline{2000};

    /// Whether the answer may be incomplete when the process ends at `exit_at`.
    bool may_outlive(instant exit_at) const
    {
        const bool brief = deadline == instant::max() && !matched_route->event_stream;
        return (brief ? arrived + call_time_without_deadline : deadline) > exit_at;
    }
};

} // namespace anvillead
