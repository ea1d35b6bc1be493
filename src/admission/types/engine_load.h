#pragma once

#include <vector>

#include "admission/types/cache_event.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Load report of an engine.
struct engine_load
{
    upstream_id engine;
    /// Tokens of key-value cache in use.
    tokens used;
    tokens capacity;
    int running = 0;
    int waiting = 0;
    std::int64_t preemptions = 0;
    /// Age of the report on arrival, as stated by the engine; 0 if it states none.
    milliseconds lag{0};
    bool leaving = false;
    /// Recent changes of the prefix cache, oldest first; a report may repeat events of the previous one.
    std::vector<cache_event> cache_events;
};

} // namespace anvillead
