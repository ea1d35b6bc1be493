#pragma once

#include <functional>
#include <memory>
#include <string>

#include "apps/agent/agent_settings.h"
#include "configuration/acceptance.h"
#include "core/metrics.h"
#include "membership/types/member.h"
#include "object_store/http_platform_client.h"

namespace anvillead {

/// Executes the actions of configuration acceptance through the platform's object API: watch, accepted object, status
/// and audit. Also reads the platform's host list. Runs on the agent's sequence.
class platform_follower
{
public:
    struct hooks
    {
        /// Returns the live members, which determine this agent's rank among the agents that watch the configuration.
        std::function<std::vector<member>()> members;
        std::function<void(const accepted_configuration&)> on_configuration_applied;
        std::function<void(const std::vector<platform_host>&)> on_hosts_read;
    };

    platform_follower(worker_pool& pool, std::shared_ptr<isequence> sequence, const agent_settings& settings,
                      metrics& counters, hooks callbacks);

    void start();
    void on_peer(const std::optional<accepted_header>& header, const std::vector<part_ptr>& parts)
    {
        carry_out(core_.on_peer(header, parts));
    }
    const accepted_configuration& accepted() const { return core_.accepted(); }
    /// The parts of the accepted configuration and those that are still missing.
    const part_assembler& parts() const { return core_.parts(); }
    /// Returns true once a read of the host list has succeeded or failed.
    bool hosts_read_attempted() const { return hosts_read_attempted_; }

private:
    void tick();
    acceptor_role compute_role() const;
    void read_hosts();
    void carry_out(const acceptance_actions& actions);
    void carry_out(const watch_collection& action);
    void carry_out(const list_collection& action);
    void carry_out(const read_accepted& action);
    void carry_out(const read_part& action);
    void carry_out(const write_part& action);
    void carry_out(const remove_part& action);
    void carry_out(const list_parts& action);
    void carry_out(const write_accepted& action);
    void carry_out(const apply_configuration& action);
    void carry_out(const write_status& action);
    void carry_out(const write_audit& action);
    void write_audit_entry(const write_audit& action, int attempts);
    void set_platform_reachable(bool reachable);
    void count_request(const char* purpose);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    const agent_settings& settings_;
    metrics& counters_;
    hooks hooks_;
    std::unique_ptr<ihttp_client> client_;
    std::unique_ptr<iplatform_client> platform_;
    acceptance core_;
    acceptor_role role_;
    instant next_hosts_read_{};
    bool hosts_read_attempted_ = false;
    bool platform_up_ = true;
};

} // namespace anvillead
