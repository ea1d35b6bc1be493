#pragma once

#include <map>
#include <memory>

#include "apps/agent/agent_settings.h"
#include "configuration/types/document.h"
#include "messages/types/messages.h"
#include "platform/http_platform_client.h"
#include "transport/ilink.h"

namespace anvillead {

/// Follows the platform's configuration and members and gives both to the local gateway and scheduler.
class agent_daemon
{
public:
    agent_daemon(worker_pool& pool, agent_settings settings);
    ~agent_daemon();

    /// Runs until a stop signal has been handled.
    void run();

private:
    void received(const link_ptr& link, const std::string& payload);
    void report(const link_ptr& link, const process_report& value);
    void publish(const link_ptr& link, bool with_configuration);
    void publish_all(bool with_configuration);
    void follow_platform();
    void collection_read(result<platform_listing> listing);
    void accept(const platform_listing& listing);
    void apply(accepted_configuration value);

    worker_pool& pool_;
    agent_settings settings_;
    metrics counters_;
    std::shared_ptr<isequence> sequence_;
    std::unique_ptr<ihttp_client> client_;
    std::unique_ptr<iplatform_client> platform_;
    std::unique_ptr<ilink_server> server_;
    std::map<link_ptr, process_report> links_;
    member self_;
    accepted_configuration accepted_;
    bool platform_up_ = true;
};

} // namespace anvillead
