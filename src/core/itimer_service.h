#pragma once

#include <cstdint>
#include <functional>

#include "core/types/units.h"

namespace anvillead {

using timer_id = std::uint64_t;

/// Clock and timers of a process. Callbacks run on the worker pool.
class itimer_service
{
public:
    virtual ~itimer_service() = default;

    virtual instant now() const = 0;
    virtual wall_time wall_now() const = 0;
    /// Calls `callback` once after `delay`.
    virtual timer_id after(milliseconds delay, std::function<void()> callback) = 0;
    /// Calls `callback` every `period` until it is cancelled; calls of one timer never overlap.
    virtual timer_id every(milliseconds period, std::function<void()> callback) = 0;
    virtual void cancel(timer_id token) = 0;
};

} // namespace anvillead
