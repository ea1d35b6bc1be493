#include "apps/common/withdrawal.h"

namespace anvillead {

namespace {

constexpr milliseconds check_period{50};
// Views list a host that stopped responding as dead after at most 8 s (docs/decisions/membership.md); if the local
// agent sends no views, the process connects to another agent after 1 s.
constexpr milliseconds withdrawal_limit{10'000};

void check_listing(worker_pool& pool, metrics& counters, const std::function<bool()>& listed,
                   const std::function<void()>& on_withdrawn, instant deadline)
{
    const bool expired = pool.timers().now() >= deadline;
    if (listed() && !expired) {
        pool.timers().after(check_period, [&pool, &counters, listed, on_withdrawn, deadline] {
            check_listing(pool, counters, listed, on_withdrawn, deadline);
        });
        return;
    }
    counters.add("withdrawal_waits_expired_total", expired ? 1 : 0);
    on_withdrawn();
}

} // namespace

void run_when_withdrawn(worker_pool& pool, metrics& counters, const std::function<bool()>& listed,
                        const std::function<void()>& on_withdrawn)
{
    check_listing(pool, counters, listed, on_withdrawn, pool.timers().now() + withdrawal_limit);
}

} // namespace anvillead
