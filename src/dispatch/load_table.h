#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"
#include "dispatch/types/upstream_call.h"
#include "dispatch/types/upstream_work.h"

namespace anvillead {

/// Expiry times of the entries in the table.
struct load_table_limits
{
    /// The work of a host that has sent no report for this long is dropped. Longer than the fleet takes to replace a
    /// lost report relay.
    milliseconds peer_timeout{3000};
    /// The same for the sums of the whole fleet, which arrive several times per second.
    milliseconds fleet_work_timeout{1500};
    /// Half-life of the failure counts.
    milliseconds failure_half_life{4000};
    /// Maximum age at which a load reported by an upstream is used.
    milliseconds report_max_age{500};
};

/// Work in progress per upstream: exact for this host, from reports for other hosts, and as reported by the upstreams
/// themselves. Also counts failures. Sans-I/O; not thread-safe.
class load_table
{
public:
    using work_map = std::map<upstream_id, upstream_work>;

    explicit load_table(load_table_limits limits = {}) : limits_(limits) {}

    /// Adds work of this host; the caller must subtract the same amounts when it ends.
    void add(const upstream_id& id, const upstream_work& amount);
    void subtract(const upstream_id& id, const upstream_work& amount);
    const work_map& own() const { return own_; }

    /// Reserves capacity for work assigned to another host that has not reported it yet; counts until `until`.
    void reserve(instant until, const upstream_id& id, const upstream_work& amount);
    void set_peer_work(instant now, const host_id& host, work_map work);
    void remove_peer(const host_id& host);
    /// Sets the work of the whole fleet, this host included, on some upstreams. The sums replace the work of single
    /// hosts that was received before. A host that becomes a relay receives the work of single hosts again while it
    /// still has sums; until they expire, the larger amount counts.
    void set_fleet_work(instant now, const work_map& work);
    /// Removes expired reservations and the work of hosts that have stopped reporting.
    void expire(instant now);
    /// Records what the upstream itself reported.
    void on_report(instant now, const upstream_id& id, const upstream_load& load);
    /// How long work takes at the upstream, in percent of the usual time, as it stated recently; 100 if it did not.
    int pace_percent(instant now, const upstream_id& id) const;
    /// An upstream has stated the pace of its machine, so upstreams share machines with others and differ in speed.
    bool states_pace() const { return states_pace_; }
    void record_outcome(instant now, const upstream_id& id, bool failed);
    /// Clears the failure counts and the reported load of an upstream that has restarted.
    void forget(const upstream_id& id);

    /// Work of all hosts at the upstream. Expired entries count until the next call of `expire`.
    upstream_work total(const upstream_id& id) const;
    /// Work of all hosts at all upstreams.
    work_map totals() const;
    /// Requests at the upstream: the larger of its own report, if recent, and the sum over the hosts.
    int requests(instant now, const upstream_id& id) const;
    /// Fraction of recent requests that failed, 0 to 1; biased towards 0 while there are few.
    double failure_ratio(instant now, const upstream_id& id) const;

private:
    struct peer_entry
    {
        instant updated{};
        work_map work;
    };

    struct outcome_counts
    {
        instant updated{};
        double failed = 0;
        double ended = 0;
    };

    struct load_report
    {
        instant at{};
        int requests = 0;
        std::optional<int> pace_percent;
    };

    struct reservation
    {
        instant until{};
        upstream_id id;
        upstream_work amount;
    };

    double decay(instant from, instant to) const;
    void add_remote(const work_map& work);
    void subtract_remote(const work_map& work);

    load_table_limits limits_;
    work_map own_;
    std::map<host_id, peer_entry> peers_;
    std::vector<reservation> reservations_;
    /// Sum of `peers_` and `reservations_`, kept up to date because adding up many hosts for each selection is too
    /// slow.
    work_map remote_work_;
    work_map fleet_work_;
    /// When the last sums were received; unset while there are none.
    instant fleet_work_updated_{};
    std::map<upstream_id, outcome_counts> outcomes_;
    std::map<upstream_id, load_report> reports_;
    bool states_pace_ = false;
};

} // namespace anvillead
