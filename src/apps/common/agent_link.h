#pragma once

#include <functional>
#include <memory>

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

/// Link of a gateway or scheduler to the agent on its host. Keeps the last view when the agent is gone and never
/// replaces a configuration by one of a lower generation.
class agent_link
{
public:
    /// `on_view` runs on a transport thread after each change.
    agent_link(worker_pool& pool, const std::string& address, link_options options, metrics& counters,
               std::function<void(view_ptr)> on_view);
    ~agent_link();
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;

    view_ptr current() const;
    /// Sends the report now and again after each reconnection.
    void report(process_report value);
    void send(message value);

private:
    void received(const link_ptr& link, const std::string& payload);
    void apply(view value);
    void send_report(const link_ptr& link);

    mutable ranked_mutex mutex_{lock_rank::configuration};
    view_ptr current_ = std::make_shared<view_snapshot>();
    process_report report_;
    std::function<void(view_ptr)> on_view_;
    std::shared_ptr<ilink_client> client_;
};

} // namespace anvillead
