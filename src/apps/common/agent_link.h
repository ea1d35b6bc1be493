#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "configuration/part_collector.h"
#include "messages/types/messages.h"
#include "transport/ilink.h"

namespace anvillead {

/// The latest view that a process received from its local agent. Immutable; replaced as a whole.
struct view_snapshot
{
    std::shared_ptr<const accepted_configuration> configuration = std::make_shared<accepted_configuration>();
    std::vector<member> members;
    std::vector<upstream_id> leaving_upstreams;
};

using view_ptr = std::shared_ptr<const view_snapshot>;

/// Stops a link client and destroys it after its pending I/O has ended.
void retire_link_client(worker_pool& pool, std::shared_ptr<ilink_client> client);

/// Link of a gateway or scheduler to the agent on its host. Keeps the last view while no agent is connected and never
/// replaces a configuration by one of a lower generation. While the local agent sends nothing, for example because it
/// is paused, views come from the agent of another host.
class agent_link
{
public:
    /// Calls `on_view` on a transport thread after each change of the view.
    agent_link(worker_pool& pool, const std::string& address, link_options options, metrics& counters,
               std::function<void(view_ptr)> on_view);
    ~agent_link();
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;

    view_ptr current() const;
    /// Sends the report now, periodically and after each reconnection.
    void report(process_report value);
    void send(message value);
    /// Runs `task` once this process has a configuration of at least `generation`, pulling it from the agent if needed.
    /// Use it to handle a message from a process with that generation. The task also runs when the time limit expires
    /// without that configuration.
    void run_at_generation(config_generation generation, std::function<void()> task);

private:
    struct waiting_task
    {
        config_generation generation = 0;
        instant deadline;
        std::function<void()> task;
    };

    link_handlers make_handlers(bool is_backup);
    void on_message(const link_ptr& link, const std::string& payload, bool is_backup);
    /// Adds a header and parts to the collector. Returns the configuration once it is complete.
    std::optional<accepted_configuration> collect_configuration(const std::optional<accepted_header>& header,
                                                                const std::vector<std::string>& texts);
    void apply(view value);
    void apply(const state_push& value);
    /// Replaces the view. Ignores a configuration whose generation is not above the current one.
    void replace_view(std::optional<accepted_configuration> configuration, std::optional<view> value);
    void pull_newer_configuration(const link_ptr& link, config_generation generation, bool parts_arrived);
    void send_report(const link_ptr& link);
    void send_to_agents(const message& value);
    void tick();
    void update_backup_client(instant now);
    std::string choose_backup_address();
    std::vector<std::function<void()>> take_ready_tasks(instant now);

    worker_pool& pool_;
    std::string address_;
    link_options options_;
    metrics& counters_;
    ranked_mutex parts_mutex_{lock_rank::configuration_parts};
    part_assembler collector_;
    /// Time of the last pull of a configuration or its parts, and the parts that it requested.
    instant last_pull_{};
    std::vector<std::string> requested_parts_;
    mutable ranked_mutex mutex_{lock_rank::configuration};
    view_ptr current_ = std::make_shared<view_snapshot>();
    process_report report_;
    std::vector<waiting_task> waiting_;
    instant last_received_;
    instant last_report_{};
    std::mt19937 random_;
    std::function<void(view_ptr)> on_view_;
    std::shared_ptr<ilink_client> client_;
    std::shared_ptr<ilink_client> backup_;
    timer_id timer_ = 0;
};

} // namespace anvillead
