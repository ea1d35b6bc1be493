#include "routing/retry_budget.h"

#include <algorithm>

namespace anvillead {

namespace {

// Hosts count only the hosts whose reports they receive, so during a partition their parts add up to more than the
// total budget. The reserve covers that, and retries that fall into a later window than the one they were earned in.
constexpr double used_part = 0.7;

} // namespace

retry_budget_limits part_of_host(double share, double slack, std::size_t hosts)
{
    retry_budget_limits out;
    out.share = share * used_part;
    out.most = slack * used_part / static_cast<double>(std::max<std::size_t>(1, hosts));
    return out;
}

bool retry_budget::take()
{
    const std::lock_guard lock(mutex_);
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

void retry_budget::refill()
{
    const std::lock_guard lock(mutex_);
    // With a part of less than one retry, a host still saves up to one.
    available_ = std::min(available_ + limits_.share, std::max(1.0, limits_.most));
}

void retry_budget::set_limits(const retry_budget_limits& value)
{
    const std::lock_guard lock(mutex_);
    limits_ = value;
    available_ = std::min(available_, limits_.most);
}

} // namespace anvillead
