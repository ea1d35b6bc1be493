#pragma once

#include <map>

#include "admission/types/scheduler_action.h"
#include "transport/ilink.h"

namespace anvillead {

/// The link of each gateway to this scheduler. A gateway opens only one at a time, but a process that was paused finds
/// several waiting when it goes on and cannot tell which of them the gateway still uses.
class gateway_links
{
public:
    /// Makes the link the gateway's. An earlier one is closed: a gateway that still uses it connects again and repeats
    /// its waiting requests.
    void opened(const link_ptr& link);
    /// True when the gateway has no link any more.
    bool closed(const link_ptr& link);
    /// The gateway's link, or null.
    link_ptr find(const gateway_identity& gateway) const;

private:
    std::map<gateway_identity, link_ptr> links_;
};

} // namespace anvillead
