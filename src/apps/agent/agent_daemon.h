#pragma once

#include <atomic>
#include <memory>

#include "apps/agent/agent_settings.h"
#include "apps/agent/local_publisher.h"
#include "apps/agent/membership_driver.h"
#include "apps/agent/peer_puller.h"
#include "apps/agent/platform_follower.h"
#include "apps/common/status_server.h"

namespace anvillead {

/// Connects membership, configuration and the local processes of one host.
class agent_daemon
{
public:
    agent_daemon(worker_pool& pool, agent_settings settings);
    ~agent_daemon();

    /// Runs until a stop signal has been handled.
    void run();

private:
    void make_server();
    void make_components();
    void on_message(const link_ptr& link, const std::string& payload);
    void handle_message(const link_ptr& link, const envelope& value);
    void handle_state_pull(const link_ptr& link, const state_pull& value);
    void pull_newest_configuration();
    void on_state_push(const state_push& value);
    void on_configuration_applied(const accepted_configuration& value);
    void on_roles_changed();
    /// Updates seeds and leaving hosts and upstreams from the platform's host list.
    void apply_host_list();
    bool has_configuration() const;
    bool may_publish() const;
    void handle_stop_signal();
    void exit_when_drained();

    worker_pool& pool_;
    agent_settings settings_;
    metrics counters_;
    std::shared_ptr<isequence> sequence_;
    link_options link_options_;
    member self_;
    instant started_;
    std::unique_ptr<peer_puller> puller_;
    std::unique_ptr<membership_driver> membership_;
    std::unique_ptr<platform_follower> follower_;
    std::unique_ptr<local_publisher> publisher_;
    std::unique_ptr<ilink_server> server_;
    std::unique_ptr<status_server> status_;
    std::vector<platform_host> hosts_;
    std::atomic<bool> ready_{false};
    bool stopping_ = false;
};

} // namespace anvillead
