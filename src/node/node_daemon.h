#pragma once

#include <exception>
#include <map>
#include <memory>
#include <tuple>

#include "node/caller_handler.h"
#include "node/engine_poller.h"
#include "node/fleet_reporter.h"
#include "node/node_context.h"
#include "node/path_prober.h"
#include "node/platform_feed.h"
#include "node/registration.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// The process of an entry host. Serves callers' requests, the discovery, readiness and control endpoints, and keeps
/// the host's state up to date from the platform and from the other hosts.
class node_daemon
{
public:
    /// `read_settings` is called to reload the settings file.
    node_daemon(worker_pool& pool, node_settings settings, std::function<result<node_settings>()> read_settings);
    ~node_daemon();
    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;

    /// Runs until shutdown is complete and the process may exit.
    void run();

private:
    /// For which callers may keep an answer of the discovery endpoint. Those that keep it for longer may connect to a
    /// host that has left; a shorter time causes more discovery requests.
    static constexpr milliseconds endpoint_time_to_live{500};

    void connect_hooks();
    void start_servers();
    void answer_endpoint_request(const http_request& request, ihttp_exchange& exchange);
    void answer_readiness(ihttp_exchange& exchange);
    void answer_control(const http_request& request, ihttp_exchange& exchange);
    /// The hosts that callers may be sent to; those without a path to upstreams only if there are no others.
    std::vector<member> hosts_for_callers(const host_report& self) const;
    const std::vector<std::string>& endpoints_for(const zone_name& zone);
    bool ready() const;
    void report_readiness();
    /// Tells the other hosts that this one has a newer configuration.
    void announce_configuration();
    void detect_suspension();
    bool large_fleet() const;
    bool should_follow_platform();
    void update_following();
    bool directory_watched() const;
    void apply_leaving_marks(const std::vector<upstream_id>& upstreams);
    void apply_summary(const fleet_summary& value);
    void reload_settings();
    void begin_shutdown();
    void check_shutdown();

    worker_pool& pool_;
    node_settings settings_;
    std::function<result<node_settings>()> read_settings_;
    metrics counters_;
    std::shared_ptr<isequence> sequence_;
    std::unique_ptr<ihttp_client> client_;
    std::unique_ptr<ihttp_client> upstream_client_;
    node_context context_;
    caller_handler callers_;
    std::unique_ptr<iobject_collection> configuration_;
    std::unique_ptr<iobject_collection> upstreams_;
    std::unique_ptr<iobject_collection> hosts_;
    /// Null if operators of this deployment do not evacuate availability zones.
    std::unique_ptr<iobject_collection> evacuations_;
    platform_feed feed_;
    std::shared_ptr<fleet_reporter> reporter_;
    std::shared_ptr<registration> registration_;
    std::shared_ptr<state_puller> puller_;
    std::shared_ptr<engine_poller> poller_;
    std::shared_ptr<path_prober> prober_;
    std::shared_ptr<client_budget> client_budget_;
    std::unique_ptr<ihttp_server> frontend_;
    std::unique_ptr<ihttp_server> readiness_;
    std::unique_ptr<ihttp_server> discovery_;
    std::unique_ptr<ihttp_server> control_;
    std::unique_ptr<ihttp_server> metrics_;
    /// Endpoints by zone, computed once for each version of the list of hosts and state of this host.
    std::map<zone_name, std::vector<std::string>> endpoints_;
    std::tuple<std::uint64_t, bool, bool, bool> endpoints_version_;
    instant started_{};
    instant following_checked_{};
    /// Since when no host of a large fleet has reached the platform; unset while one does.
    instant unreachable_since_{};
    instant leaving_since_{};
    /// Why the process cannot run, found out on its worker thread.
    std::exception_ptr start_failure_;
    /// Connections and requests at the last check of the shutdown, and checks in a row without any.
    std::uint64_t last_arrivals_ = 0;
    int quiet_checks_ = 0;
    bool shutdown_forced_ = false;
    std::chrono::nanoseconds last_suspended_{0};
    bool reported_ready_ = false;
};

} // namespace anvillead
