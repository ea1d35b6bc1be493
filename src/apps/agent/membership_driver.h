#pragma once

#include <functional>
#include <memory>
#include <string>

#include "apps/agent/agent_settings.h"
#include "core/metrics.h"
#include "membership/membership.h"
#include "transport/iudp_socket.h"

namespace anvillead {

/// Connects membership decisions to the UDP socket, timers and logs. Runs on the agent's sequence.
class membership_driver
{
public:
    /// Calls `on_pull` for each state pull that membership requests, and `on_change` after a change of a member or
    /// upstream that must be sent to the local processes immediately.
    membership_driver(worker_pool& pool, std::shared_ptr<isequence> sequence, const agent_settings& settings,
                      member self, metrics& counters, std::function<void(const pull_state&)> on_pull,
                      std::function<void()> on_change);

    /// Must be called every 100 ms.
    void tick();
    /// Calls `change` on the membership and executes the resulting actions.
    void apply(const std::function<membership_actions(membership&, instant)>& change);
    const membership& core() const { return core_; }
    /// Returns the local address that receives probes.
    std::string probe_address() const { return socket_->address(); }

private:
    void carry_out(const membership_actions& actions);
    void carry_out(const send_datagram& action);
    void carry_out(const pull_state& action) { on_pull_(action); }
    void carry_out(const member_changed& action);
    void carry_out(const upstream_status_changed& action);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    metrics& counters_;
    std::function<void(const pull_state&)> on_pull_;
    std::function<void()> on_change_;
    std::unique_ptr<iudp_socket> socket_;
    membership core_;
};

} // namespace anvillead
