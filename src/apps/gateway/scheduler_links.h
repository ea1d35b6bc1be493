#pragma once

#include <functional>
#include <map>
#include <memory>

#include "apps/common/agent_link.h"
#include "apps/gateway/gateway_settings.h"
#include "apps/gateway/progress_table.h"
#include "routing/hedged_grant_request.h"
#include "routing/scheduler_absence.h"
#include "routing/scheduler_choice.h"

namespace anvillead {

/// Links to the schedulers of the cells in use, and the grant requests sent to them.
class scheduler_links
{
public:
    struct grant_callbacks
    {
        /// `scheduler` is the link address of the scheduler that issued the grant.
        std::function<void(const grant& value, const std::string& scheduler)> on_grant;
        std::function<void(const refusal& value)> on_refusal;
    };

    scheduler_links(worker_pool& pool, link_options options, metrics& counters, progress_table& progress,
                    grant_settings settings);

    /// Opens links to new cell owners and moves waiting requests to them.
    void apply_view(const view_ptr& view);
    /// `gate` runs a task as soon as this process has a configuration of at least the given generation.
    void set_generation_gate(std::function<void(config_generation, std::function<void()>)> gate)
    {
        generation_gate_ = std::move(gate);
    }
    /// Requests a grant. With one scheduler per request, it is the owner of a cell of the service chosen by hash. With
    /// two, the best scheduler is asked first and a second one if there is no grant within a round trip; the first
    /// grant is used. Callbacks run on a transport thread.
    void submit(const grant_request& request, grant_callbacks callbacks);
    void cancel(const request_id& request);
    /// Refuses requests that wait for a service without a scheduler for longer than grant_settings::scheduler_absence.
    /// Must be called periodically.
    void refuse_unserved();
    void report_progress();
    /// Notifies the scheduler immediately that a grant has ended, so that the engine's slot can be granted again.
    void report_end(const grant_id& id, grant_state state);

private:
    struct grant_request_state
    {
        grant_request request;
        grant_callbacks callbacks;
        hedged_grant_request hedged_request;
        /// Link address of the scheduler that issued the grant.
        std::string scheduler;
        /// Set when the grant is received. The entry is kept until cancel() or the end of the grant.
        std::optional<grant_id> granted;
        instant since;
        /// Number of schedulers to ask concurrently. Raised to request.schedulers if the first one does not grant
        /// immediately.
        std::size_t schedulers_wanted = 1;
    };

    /// Schedulers of a service by link address.
    struct service_schedulers
    {
        /// Link address of the owner of each cell.
        std::vector<std::string> cells;
        /// Number of engines that accept new requests, by owner.
        std::map<std::string, int> engines;
    };

    /// Messages to send after the lock has been released.
    using outgoing = std::vector<std::pair<std::string, message>>;

    std::shared_ptr<ilink_client> client_for(const std::string& address);
    /// Closes the links to schedulers that own no cell any more and are not used by any request.
    void close_unused_links();
    /// Functions that take an entry are called with the lock held.
    void move_to_owners(grant_request_state& entry, outgoing& messages);
    void ask_schedulers(grant_request_state& entry, outgoing& messages);
    /// Returns whether the scheduler has an open link and an engine that accepts new requests.
    bool is_usable(const std::string& address, int engines) const;
    std::size_t count_usable(const service_schedulers& value) const;
    /// Asks a second scheduler if the request still waits.
    void ask_second_scheduler(const request_id& id);
    /// Asks a second scheduler for `entry`, unless that was done before.
    void ask_second_scheduler(grant_request_state& entry, outgoing& messages);
    /// Asks another scheduler instead of one whose link has closed, if there is one.
    void replace_scheduler(grant_request_state& entry, const std::string& address, outgoing& messages);
    void withdraw_from(grant_request_state& entry, const std::string& address);
    milliseconds wait_time(const grant_request_state& entry) const;
    scheduler_selector& selector_for(const service_name& name);
    void on_link_open(const std::string& address, const link_ptr& link);
    void on_link_closed(const std::string& address, const link_ptr& link);
    void on_link_message(const std::string& address, const link_ptr& link, const std::string& payload);
    void handle(const std::string& address, const message& body);
    void handle_grant(const std::string& address, const grant& value);
    void handle_refusal(const std::string& address, const refusal& value);
    void send(const std::string& address, message value);
    void send_all(outgoing messages);

    std::function<void(config_generation, std::function<void()>)> generation_gate_;
    worker_pool& pool_;
    link_options options_;
    metrics& counters_;
    progress_table& progress_;
    mutable ranked_mutex mutex_{lock_rank::members};
    view_ptr view_ = std::make_shared<view_snapshot>();
    std::map<std::string, std::shared_ptr<ilink_client>> clients_;
    std::map<request_id, grant_request_state> grant_requests_;
    /// Engines by the link address of the owner of their cell.
    std::map<std::string, std::vector<upstream_id>> engines_by_owner_;
    std::map<service_name, service_schedulers> services_;
    /// Open links by address.
    std::map<std::string, link_ptr> open_links_;
    std::map<service_name, scheduler_selector> selectors_;
    std::size_t schedulers_asked_;
    scheduler_absence absence_;
};

} // namespace anvillead
