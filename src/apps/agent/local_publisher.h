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

/// Gives gateways and schedulers their view: the accepted configuration, members and leaving upstreams. Each link gets
/// only what changed since its previous view. Runs on the agent's sequence.
class local_publisher
{
public:
    struct hooks
    {
        std::function<const accepted_configuration&()> accepted;
        /// Texts of parts that go along with the accepted header.
        std::function<std::vector<std::string>()> changed_parts;
        std::function<const membership&()> members;
        /// The member table is complete enough to replace what the processes already have.
        std::function<bool()> ready;
        /// Addresses or leaving roles of the local processes changed.
        std::function<void()> on_roles;
    };

    /// What the local processes report.
    struct local_roles
    {
        std::string gateway_http;
        std::string gateway_link;
        std::string scheduler_link;
        bool gateway_leaving = false;
        bool scheduler_leaving = false;
    };

    local_publisher(host_id host, metrics& counters, hooks callbacks);

    void opened(const link_ptr& link) { links_[link] = {}; }
    void closed(instant now, const link_ptr& link);
    void report(instant now, const link_ptr& link, const process_report& value);
    /// The process asks for a configuration above `have`.
    void asked(instant now, const link_ptr& link, config_generation have);
    /// Sends views to links that are behind, and to `asking` in any case.
    void publish(instant now, const link_ptr& asking = nullptr);
    /// Sends heartbeats and forgets processes that are silent.
    void tick(instant now);
    const local_roles& roles() const { return roles_; }
    /// A local process is draining and still connected.
    bool has_leaving_process() const;

private:
    struct link_state
    {
        process_report report;
        config_generation generation = 0;
        std::uint64_t members_revision = 0;
        std::uint64_t upstreams_revision = 0;
        bool has_members = false;
        instant sent{};
        instant heard{};
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
    instant gateway_seen_{};
    instant scheduler_seen_{};
};

} // namespace anvillead
