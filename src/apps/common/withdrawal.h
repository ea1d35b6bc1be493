#pragma once

#include <functional>

#include "core/metrics.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// Calls `on_withdrawn` once `listed` returns false. A leaving process uses it before it refuses new work: while its
/// agent is stopped or paused, the announcement reaches no other host, and their views list the process until
/// membership declares its host dead. Stops waiting after the time that membership needs to remove any unresponsive
/// host.
void run_when_withdrawn(worker_pool& pool, metrics& counters, const std::function<bool()>& listed,
                        const std::function<void()>& on_withdrawn);

} // namespace anvillead
