#pragma once

#include <map>
#include <memory>
#include <set>

#include "admission/ischeduler_core.h"
#include "admission/progress_expander.h"
#include "apps/common/agent_link.h"
#include "apps/common/status_server.h"
#include "apps/scheduler/gateway_links.h"
#include "apps/scheduler/scheduler_settings.h"
#include "transport/ihttp_client.h"

namespace anvillead {

/// Connects the scheduler core to links from gateways, engine load reports and the local agent.
class scheduler_daemon
{
public:
    scheduler_daemon(worker_pool& pool, scheduler_settings settings);
    ~scheduler_daemon();

    /// Runs until a stop signal has been handled.
    void run();

private:
    /// Returns the address that gateways connect to.
    std::string link_address() const;
    void apply_view(const view_ptr& view);
    void update_gateway_count(const std::vector<member>& members);
    void export_statistics();
    void on_message(const link_ptr& link, const std::string& payload);
    void handle_message(const link_ptr& link, const envelope& value);
    void carry_out(scheduler_actions actions);
    void send(const gateway_identity& gateway, message value);
    void poll_loads();
    void poll_engine(const upstream_id& engine, const std::string& address);
    /// Returns true if, according to the last view, gateways may still send grant requests to this scheduler.
    bool may_receive_requests() const;
    void handle_stop_signal();

    worker_pool& pool_;
    scheduler_settings settings_;
    metrics counters_;
    /// Runs all scheduling decisions and guards the members below.
    std::shared_ptr<isequence> sequence_;
    std::unique_ptr<ischeduler_core> core_;
    progress_expander progress_;
    std::unique_ptr<ihttp_client> client_;
    gateway_links gateways_;
    std::map<upstream_id, std::string> owned_engines_;
    std::set<upstream_id> pending_polls_;
    std::set<upstream_id> leaving_upstreams_;
    config_generation applied_generation_ = 0;
    std::unique_ptr<ilink_server> server_;
    std::unique_ptr<agent_link> agent_;
    std::unique_ptr<status_server> status_;
    bool stopping_ = false;
};

} // namespace anvillead
