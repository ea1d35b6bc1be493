#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Parameters of a service balancer.
struct balancer_limits
{
    /// Consecutive failures after which an upstream is ejected.
    int failures = 5;
    /// Maximum fraction of the pool that is ejected at the same time. In a pool of several, one may always be ejected.
    double ejected_share = 0.3;
    /// Duration of an ejection, multiplied by the number of consecutive ejections up to max_ejection_multiplier.
    milliseconds ejection{5000};
    int max_ejection_multiplier = 6;
    /// Time over which a new or returning upstream ramps up to its full weight.
    milliseconds slow_start{10'000};
    /// Load reports older than this are ignored.
    milliseconds max_load_report_age{3000};
};

/// Balances the calls of one plain service by least outstanding requests. Sans-I/O; not thread-safe.
class service_balancer
{
public:
    explicit service_balancer(balancer_limits limits) : limits_(limits) {}

    /// Sets the pool and the upstreams that the view reports as leaving. Upstreams that are added to a non-empty pool
    /// start slowly.
    void configure(instant now, const std::vector<upstream_id>& pool, const std::vector<upstream_id>& leaving);
    void on_load(instant now, const upstream_id& id, int running, bool leaving);

    /// Returns the upstream for the next call and counts the call as outstanding. Upstreams in `excluded` are skipped.
    std::optional<upstream_id> choose(instant now, const std::vector<upstream_id>& excluded);

    /// Result of a call.
    enum class outcome
    {
        answered,
        failed,
        /// Cancelled by the caller; counts neither as a success nor as a failure of the upstream.
        cancelled
    };
    /// Returns true if this call caused the upstream to be ejected.
    bool on_end(instant now, const upstream_id& id, outcome value);

    /// Ends expired ejections and returns the affected upstreams.
    std::vector<upstream_id> take_reinstated(instant now);

private:
    struct state
    {
        int outstanding = 0;
        int reported = 0;
        int outstanding_at_report = 0;
        instant reported_at{};
        instant started_at{};
        instant ejected_until{};
        int failures = 0;
        int ejections = 0;
        bool starts_slowly = false;
        bool ejected = false;
        bool reported_leaving = false;
        bool view_leaving = false;
    };

    double score(instant now, const state& value) const;
    bool may_eject() const;

    balancer_limits limits_;
    std::map<upstream_id, state> pool_;
    std::size_t next_start_ = 0;
};

} // namespace anvillead
