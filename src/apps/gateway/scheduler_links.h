#pragma once

#include <functional>
#include <map>
#include <memory>

#include "apps/common/agent_link.h"
#include "apps/gateway/gateway_settings.h"
#include "apps/gateway/progress_table.h"
#include "routing/grant_race.h"
#include "routing/scheduler_absence.h"
#include "routing/scheduler_choice.h"

namespace anvillead {

/// Links to the schedulers of the cells in use, and the grant requests that wait for their answer.
class scheduler_links
{
public:
    struct grant_callbacks
    {
        /// `scheduler` is the link address that gave the grant.
        std::function<void(const grant& value, const std::string& scheduler)> on_grant;
        std::function<void(const refusal& value)> on_refusal;
    };

    scheduler_links(worker_pool& pool, link_options options, metrics& counters, progress_table& progress,
                    grant_settings settings);

    /// Follows the view: opens links to new cell owners and moves waiting requests to them.
    void apply_view(const view_ptr& view);
    /// `gate` runs a task once this process has a configuration of at least the given generation.
    void set_generation_gate(std::function<void(config_generation, std::function<void()>)> gate)
    {
        when_current_ = std::move(gate);
    }
    /// Asks the scheduler of one cell of the request's service, chosen by hash, or the best one and, when that does not
    /// grant it within a round trip, a second one; the first grant counts. Callbacks run on a transport thread.
    void ask(const grant_request& request, grant_callbacks callbacks);
    void cancel(const request_id& request);
    /// Refuses what waits for a service that has had no scheduler for the time of the settings. Must be called
    /// regularly.
    void refuse_unserved();
    void report_progress();
    /// Tells the scheduler at once that a grant has ended, so that it gives the engine's slot to the next request.
    void report_end(const grant_id& id, grant_state state);

private:
    struct waiting
    {
        grant_request request;
        grant_callbacks callbacks;
        grant_race race;
        /// Scheduler of the grant.
        std::string scheduler;
        /// Set once the grant was received; the entry stays until cancel() or the end of the grant.
        std::optional<grant_id> granted;
        instant since;
        /// Schedulers to ask at a time; request.schedulers once one has not granted it at once.
        std::size_t width = 1;
    };

    /// Schedulers of one service by link address.
    struct service_schedulers
    {
        /// Owner of each cell.
        std::vector<std::string> cells;
        /// Engines that take work of each owner.
        std::map<std::string, int> engines;
    };

    /// Messages that are sent once the lock is released.
    using outgoing = std::vector<std::pair<std::string, message>>;

    std::shared_ptr<ilink_client> client_for(const std::string& address);
    /// Schedulers of earlier views that no request waits for are no longer reconnected to.
    void drop_unused_links();
    /// The functions with an entry are called with the lock held.
    void move_to_owners(waiting& entry, outgoing& messages);
    void ask_more(waiting& entry, outgoing& messages);
    /// The scheduler has an open link and an engine that takes work.
    bool usable(const std::string& address, int engines) const;
    std::size_t count_usable(const service_schedulers& value) const;
    /// Asks a second scheduler for a request that still waits.
    void widen(const request_id& id);
    /// The same, once, for a request that the caller has found.
    void widen(waiting& entry, outgoing& messages);
    /// Asks another scheduler in place of one whose link has closed, if there is one.
    void replace(waiting& entry, const std::string& address, outgoing& messages);
    void drop(waiting& entry, const std::string& address);
    milliseconds waited(const waiting& entry) const;
    scheduler_choice& choice_of(const service_name& name);
    void opened(const std::string& address, const link_ptr& link);
    void closed(const std::string& address, const link_ptr& link);
    void received(const std::string& address, const link_ptr& link, const std::string& payload);
    void handle(const std::string& address, const message& body);
    void take_grant(const std::string& address, const grant& value);
    void take_refusal(const std::string& address, const refusal& value);
    void send(const std::string& address, message value);
    void send_all(outgoing messages);

    std::function<void(config_generation, std::function<void()>)> when_current_;
    worker_pool& pool_;
    link_options options_;
    metrics& counters_;
    progress_table& progress_;
    mutable ranked_mutex mutex_{lock_rank::members};
    view_ptr view_ = std::make_shared<view_snapshot>();
    std::map<std::string, std::shared_ptr<ilink_client>> clients_;
    std::map<request_id, waiting> waiting_;
    /// Engines by the link address of their cell's owner.
    std::map<std::string, std::vector<upstream_id>> owned_;
    std::map<service_name, service_schedulers> services_;
    /// Open links by address.
    std::map<std::string, link_ptr> open_;
    std::map<service_name, scheduler_choice> choices_;
    std::size_t schedulers_asked_;
    scheduler_absence absence_;
};

} // namespace anvillead
