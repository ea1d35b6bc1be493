#include "apps/common/withdrawal.h"

namespace anvillead {

namespace {

constexpr milliseconds check_period{50};
// A silent host is dead in all views after at most 8 s (docs/decisions/membership.md); the view comes from another
// agent, which is asked after 1 s.
constexpr milliseconds withdrawal_limit{10'000};

void check(worker_pool& pool, metrics& counters, const std::function<bool()>& listed, const std::function<void()>& then,
           instant end)
{
    const bool expired = pool.timers().now() >= end;
    if (listed() && !expired) {
        pool.timers().after(check_period,
                            [&pool, &counters, listed, then, end] { check(pool, counters, listed, then, end); });
        return;
    }
    counters.add("withdrawal_waits_expired_total", expired ? 1 : 0);
    then();
}

} // namespace

void when_withdrawn(worker_pool& pool, metrics& counters, const std::function<bool()>& listed,
                    const std::function<void()>& then)
{
    check(pool, counters, listed, then, pool.timers().now() + withdrawal_limit);
}

} // namespace anvillead
