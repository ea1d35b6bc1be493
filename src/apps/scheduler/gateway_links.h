#pragma once

#include <map>

#include "admission/types/scheduler_action.h"
#include "transport/ilink.h"

namespace anvillead {

/// The link of each gateway to this scheduler. A gateway uses one link at a time, but a scheduler that resumes after a
/// pause may accept several links of one gateway and cannot tell which of them the gateway still uses.
class gateway_links
{
public:
    /// Uses the link for its gateway. Closes the previous link of the gateway: a gateway that still uses it reconnects
    /// and repeats its waiting requests.
    void on_link_opened(const link_ptr& link);
    /// Returns true if the gateway has no link left.
    bool on_link_closed(const link_ptr& link);
    /// Returns the gateway's link, or null if it has none.
    link_ptr find(const gateway_identity& gateway) const;

private:
    std::map<gateway_identity, link_ptr> links_;
};

} // namespace anvillead
