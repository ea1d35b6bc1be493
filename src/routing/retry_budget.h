#pragma once

#include "core/ranked_mutex.h"

namespace anvillead {

/// Shape of a retry budget.
struct retry_budget_limits
{
    /// Retries earned by each completed request. Attempts stay within 1 + share times the requests.
    double share = 0.1;
    /// The most that can be saved up.
    double most = 20;
};

/// Retries that a process may still make. Completed requests refill it, so that retries cannot multiply the load of a
/// failing system. Thread-safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_limits limits = {}) : limits_(limits), left_(limits.most) {}

    /// Takes one retry; false when none is left.
    bool take();
    void refill();

private:
    ranked_mutex mutex_{lock_rank::streams};
    retry_budget_limits limits_;
    double left_;
};

} // namespace anvillead
