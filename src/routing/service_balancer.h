#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Behaviour of a service balancer.
struct balancer_limits
{
    /// Failures in a row that eject an upstream.
    int failures = 5;
    /// Largest fraction of the pool that is ejected together; one upstream of several may always be.
    double ejected_share = 0.3;
    /// Multiplied by the number of ejections in a row.
    milliseconds ejection{5000};
    int longest_ejection = 6;
    /// Time until a new or returning upstream gets its full part.
    milliseconds slow_start{10'000};
    /// A load report counts for this long.
    milliseconds load_age{3000};
};

/// Chooses upstreams of one plain service by least outstanding work. Sans-I/O; not thread-safe.
class service_balancer
{
public:
    explicit service_balancer(balancer_limits limits) : limits_(limits) {}

    /// Upstreams in use and those that the view reports as leaving. Upstreams added to a pool in use start slowly.
    void configure(instant now, const std::vector<upstream_id>& pool, const std::vector<upstream_id>& leaving);
    void on_load(instant now, const upstream_id& id, int running, bool leaving);

    /// The upstream for the next call; counts the call as outstanding. Upstreams in `excluded` are not chosen.
    std::optional<upstream_id> choose(instant now, const std::vector<upstream_id>& excluded);

    /// What a finished call says about its upstream.
    enum class outcome
    {
        answered,
        failed,
        /// The caller ended the call.
        cancelled
    };
    /// True when the upstream is ejected because of this call.
    bool on_end(instant now, const upstream_id& id, outcome value);

    /// Ejected upstreams that may be used again since the last call of this function.
    std::vector<upstream_id> take_returned(instant now);

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
        bool own_leaving = false;
        bool view_leaving = false;
    };

    double score(instant now, const state& value) const;
    bool may_eject() const;

    balancer_limits limits_;
    std::map<upstream_id, state> pool_;
    std::size_t next_ = 0;
};

} // namespace anvillead
