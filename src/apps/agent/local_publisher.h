#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "membership/membership.h"
#include "messages/types/messages.h"
#include "transport/ilink.h"

namespace anvillead {

/// Sends views to gateways and schedulers: the accepted configuration, members and leaving upstreams. Each link
/// receives only the changes since its previous view. Runs on the agent's sequence.
class local_publisher
{
public:
    struct hooks
    {
        std::function<const accepted_configuration&()> accepted;
        /// Texts of the parts that are sent with the accepted header.
        std::function<std::vector<std::string>()> changed_parts;
        std::function<const membership&()> members;
        /// Returns true if the member table is complete enough to replace the view that the processes have.
        std::function<bool()> ready;
        /// Called when addresses or leaving states of the local processes changed.
        std::function<void()> on_roles_changed;
    };

    /// Addresses and leaving states that the local processes report.
    struct local_roles
    {
        std::string gateway_http;
        std::string gateway_link;
        std::string scheduler_link;
        bool gateway_leaving = false;
        bool scheduler_leaving = false;
    };

    local_publisher(host_id host, metrics& counters, hooks callbacks);

    void on_link_opened(const link_ptr& link) { links_[link] = {}; }
    void on_link_closed(instant now, const link_ptr& link);
    void on_report(instant now, const link_ptr& link, const process_report& value);
    /// Handles a request for a configuration with a generation above `known_generation`.
    void on_configuration_pull(instant now, const link_ptr& link, config_generation known_generation);
    /// Sends a view to each link whose last view is outdated or older than the heartbeat period, and to `requester`.
    void publish(instant now, const link_ptr& requester = nullptr);
    /// Sends heartbeats and withdraws the roles of processes that stopped reporting.
    void tick(instant now);
    const local_roles& roles() const { return roles_; }
    /// Returns true while a local process is draining and still connected.
    bool has_leaving_process() const;

private:
    struct link_state
    {
        process_report report;
        config_generation generation = 0;
        std::uint64_t members_revision = 0;
        std::uint64_t upstreams_revision = 0;
        bool has_members = false;
        instant last_sent{};
        instant last_report{};
    };

    void send(instant now, const link_ptr& link, link_state& state);
    std::vector<member> members_for(const link_state& state, bool full) const;
    std::vector<upstream_id> leaving_upstreams() const;
    bool is_local(const link_ptr& link) const;
    void update_roles(instant now);

    host_id host_;
    metrics& counters_;
    hooks hooks_;
    std::map<link_ptr, link_state> links_;
    local_roles roles_;
    instant gateway_last_seen_{};
    instant scheduler_last_seen_{};
};

} // namespace anvillead
