#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/itimer_service.h"
#include "core/metrics.h"
#include "dispatch/load_table.h"
#include "dispatch/selection.h"
#include "dispatch/types/route_table.h"
#include "dispatch/upstream_directory.h"
#include "dispatch/upstream_paths.h"
#include "fleet/peer_table.h"
#include "node/types/node_settings.h"
#include "routing/retry_budget.h"
#include "streams/unsent_limit.h"
#include "transport/ihttp_client.h"

namespace anvillead {

class crash_detector;
class placement_service;
class quarantine_service;
class rate_service;

/// Answers are normally below 1 KB; hosts have a memory of 88 MB and more.
inline constexpr std::size_t max_answer_buffer_bytes = 2 * 1024 * 1024;

/// This host's part of the retries for a service, and the number of hosts that it was made for.
struct host_retry_budget
{
    std::unique_ptr<retry_budget> budget;
    std::size_t hosts = 0;
};

/// State and services shared by the components of a node. A node runs one worker thread, so none of it is locked.
struct node_context
{
    const node_settings& settings;
    worker_pool& pool;
    itimer_service& timers;
    metrics& counters;
    /// Calls upstreams.
    ihttp_client& client;
    /// Calls other hosts.
    ihttp_client& host_client;
    upstream_directory directory;
    load_table loads;
    engine_speeds speeds;
    /// Whether this host reaches the upstreams.
    upstream_paths paths;
    peer_table peers;
    /// The active configuration; null before the first one was applied.
    std::shared_ptr<const route_table> routes;
    /// This host's share of the retries allowed for each service.
    std::map<service_name, host_retry_budget> retry_budgets;
    /// The process is shutting down.
    bool leaving = false;
    /// When the process ends at the latest; set while it is shutting down.
    instant exit_at = instant::max();
    /// Number of requests of other hosts' callers that this host serves at present; shared with these requests.
    std::shared_ptr<std::size_t> forwarded_requests;
    /// Answers that are passed on to callers as they arrive; shared with these answers.
    std::shared_ptr<std::size_t> open_streams;
    /// Bytes of upstreams' answers that are held in memory at the same time, beside the first ones of each.
    std::shared_ptr<byte_budget> answer_buffers;
    /// Requests engines for generations; set before the first request.
    std::shared_ptr<placement_service> placements;
    /// Examines engines whose generations end without output; set before the first request.
    std::shared_ptr<crash_detector> crashes;
    /// Decides which prompts may be sent; set before the first request.
    std::shared_ptr<quarantine_service> quarantine;
    /// Grants requests to upstreams that have named a rate; set before the first request.
    std::shared_ptr<rate_service> rates;
    /// Hosts by duty, for one version of the list of hosts and one state of this host.
    std::map<std::string, host_id> responsible_hosts;
    std::pair<std::uint64_t, bool> responsible_hosts_version;
    /// Called when the work of this host changed; schedules a report to the other hosts.
    std::function<void()> on_work_changed;

    /// The learned speeds, or null if no upstream has stated the pace of its machine.
    const engine_speeds* known_speeds() const { return loads.states_pace() ? &speeds : nullptr; }
    /// Input for the choice of an upstream; also excludes those that accept no further request at present.
    selection_input selection(std::vector<upstream_id> excluded) const;
    /// Bytes buffered for one slow caller before reading from its upstream is paused.
    std::size_t unsent_bytes_limit() const { return unsent_limit(settings.memory_bytes, *open_streams); }
    /// Counts one open stream until the result is released.
    std::shared_ptr<void> count_stream() const;
    /// Time until an upstream of the service accepts requests again, if all rest or have used up their request rates;
    /// otherwise zero.
    milliseconds time_until_open(const service_name& service) const;
    /// Another host has a newer configuration, so this one does not know which routes and keys there are.
    bool knows_newer_configuration() const;
    /// The ready host that performs a duty for the fleet, by rendezvous of the duty's key; empty if there is none.
    host_id responsible_for(const std::string& key);
    /// Takes note of whether an upstream answered on a connection that was started at `started`.
    void record_path(instant started, const upstream_record& upstream, bool answered);
    /// Returns the retry budget of a service; created at first use.
    retry_budget& retry_budget_for(const service_name& service);
};

} // namespace anvillead
