#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Thresholds by which a host decides that it has no path to the upstreams of a service.
struct path_settings
{
    /// Different upstreams in a row that could not be reached, or all of them if there are fewer. One or two may have
    /// failed by themselves.
    std::size_t unreachable = 3;
    /// Failures further apart than this are not connected.
    milliseconds window{2000};
    /// Different upstreams, or all, that have to be reached again. A single one may be all that is left.
    std::size_t reached = 2;
    /// Time after the first failure in which the next request usually shows that other upstreams are reached.
    milliseconds doubt_time{100};
    /// Interval between probes of a service.
    milliseconds probe_period{500};
    /// Upstreams that are probed at the same time.
    std::size_t probes = 3;
};

/// Whether this host reaches the upstreams of each service, from the outcomes of its own connections. An upstream that
/// fails is one of several; a host without a path fails at all of them. Whether the upstreams are down for everyone is
/// not known here: other hosts say whether they reach them. Sans-I/O; not thread-safe.
class upstream_paths
{
public:
    struct hooks
    {
        std::function<void(const service_name&)> on_lost;
        std::function<void(const service_name&)> on_restored;
    };

    explicit upstream_paths(path_settings settings = {}) : settings_(settings) {}
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// A connection that was started at `started` brought an answer. Those started before the first failure prove
    /// nothing: open connections may live on while new ones fail.
    void record_reached(instant started, const service_name& service, const upstream_id& upstream, std::size_t usable);
    /// A connection failed or was lost without an answer. `usable` is the number of upstreams of the service.
    void record_unreachable(instant now, const service_name& service, const upstream_id& upstream, std::size_t usable);
    /// A request got no answer in its time, or the path to another service is lost: the service is worth a probe.
    void record_doubt(instant now, const service_name& service);
    bool lost(const service_name& service) const;
    bool any_lost() const;
    /// Services whose upstreams should be probed.
    std::vector<service_name> doubtful() const;
    /// Upstreams among `usable` to probe now; empty until the next probe is due.
    std::vector<upstream_id> due_probes(instant now, const service_name& service,
                                        const std::vector<upstream_id>& usable);
    /// Forgets failures that nothing followed.
    void expire(instant now);

private:
    struct path_state
    {
        std::set<upstream_id> failed;
        std::set<upstream_id> reached;
        instant first_failure{};
        instant last_failure{};
        instant last_probe{};
        /// Where the next round of probes begins.
        std::size_t next_probe = 0;
        bool lost = false;
    };

    path_settings settings_;
    hooks hooks_;
    /// Services with failures that no answer followed.
    std::map<service_name, path_state> states_;
};

} // namespace anvillead
