#pragma once

#include <functional>

#include "core/metrics.h"
#include "transport/worker_pool.h"

namespace anvillead {

/// Runs `then` once `listed` is false. A leaving process calls it before it refuses new work: while its agent is dead
/// or paused, the announcement reaches nobody, and others list the process until membership takes its host for dead.
/// Stops waiting after a time in which membership removes every silent host.
void when_withdrawn(worker_pool& pool, metrics& counters, const std::function<bool()>& listed,
                    const std::function<void()>& then);

} // namespace anvillead
