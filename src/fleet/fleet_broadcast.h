#pragma once

#include <functional>
#include <string>
#include <vector>

#include "dispatch/upstream_limits.h"
#include "fleet/report_exchange.h"
#include "quarantine/request_quarantine.h"

namespace anvillead {

/// Distributes a state that all hosts share and that is empty most of the time: each change at once along the ways of
/// the reports, and everything again and again for hosts that have missed a change or have just started. Merging must
/// be idempotent, because each host passes on what is new to it. Sans-I/O; not thread-safe.
class fleet_broadcast
{
public:
    /// The shared state.
    struct state
    {
        std::function<bool()> has_changes;
        /// Returns datagrams with the changes since the last call.
        std::function<std::vector<std::string>(instant)> take_changes;
        /// Returns datagrams with everything, the most important first; none while there is nothing to share.
        std::function<std::vector<std::string>(instant)> all;
        /// Merges a datagram; returns false for one of another kind.
        std::function<bool(instant, std::string_view)> merge;
    };

    struct outgoing
    {
        std::vector<std::string> addresses;
        std::vector<std::string> datagrams;
    };

    fleet_broadcast(state value, const report_exchange& reports) : state_(std::move(value)), reports_(reports) {}

    /// Returns false for a datagram of another kind.
    bool receive(instant now, std::string_view datagram) { return state_.merge(now, datagram); }
    bool has_changes() const { return state_.has_changes(); }
    outgoing take_changes(instant now);
    /// Everything, for a host that asks for it.
    std::vector<std::string> everything(instant now) const;
    /// Called in each period; returns everything when the refresh is due.
    outgoing run_period(instant now);

private:
    outgoing address(instant now, std::vector<std::string> datagrams) const;

    state state_;
    const report_exchange& reports_;
    instant last_refresh_{};
};

/// The evidence of crashes as a shared state.
fleet_broadcast::state evidence_state(request_quarantine& quarantine);
/// The rates that upstreams have named as a shared state.
fleet_broadcast::state limit_state(upstream_limits& limits);

} // namespace anvillead
