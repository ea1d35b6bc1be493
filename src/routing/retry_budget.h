#pragma once

#include <cstddef>

#include "core/ranked_mutex.h"

namespace anvillead {

/// Parameters of a retry budget.
struct retry_budget_limits
{
    /// Retries that each completed request adds. In the long run, attempts do not exceed (1 + share) times the
    /// requests.
    double share = 0.1;
    /// Maximum and initial number of available retries.
    double most = 20;
};

/// Part of one host in a budget that all hosts share. `share` and `slack` are those of the whole fleet; `hosts` is the
/// number of hosts that this one knows, with itself.
retry_budget_limits part_of_host(double share, double slack, std::size_t hosts);

/// Limits the retries of a process to a share of its completed requests, so that retries cannot multiply the load on a
/// failing system. Thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits = {}) : limits_(limits), available_(limits.most) {}

    /// Takes one retry; returns false when none is left.
    bool take();
    /// Adds the share of one completed request.
    void refill();
    /// Applies other limits. Retries beyond the new maximum are dropped.
    void set_limits(const retry_budget_limits& value);

private:
    ranked_mutex mutex_{lock_rank::streams};
    retry_budget_limits limits_;
    double available_;
};

} // namespace anvillead
