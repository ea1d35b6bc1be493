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
    /// `on_pull` gets the pulls that membership asks for; `on_news` runs when something changed that local processes
    /// should hear of at once.
    membership_driver(worker_pool& pool, std::shared_ptr<isequence> sequence, const agent_settings& settings,
                      member self, metrics& counters, std::function<void(const pull_state&)> on_pull,
                      std::function<void()> on_news);

    /// Call it every 100 ms.
    void tick();
    /// Runs one change of the membership and carries out its actions.
    void apply(const std::function<membership_actions(membership&, instant)>& change);
    const membership& core() const { return core_; }
    /// Where the probes arrive.
    std::string probe_address() const { return socket_->address(); }

private:
    void carry_out(const membership_actions& actions);
    void carry_out(const send_datagram& action);
    void carry_out(const pull_state& action) { on_pull_(action); }
    void carry_out(const member_changed& action);
    void carry_out(const upstream_changed& action);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    metrics& counters_;
    std::function<void(const pull_state&)> on_pull_;
    std::function<void()> on_news_;
    std::unique_ptr<iudp_socket> socket_;
    membership core_;
};

} // namespace anvillead
