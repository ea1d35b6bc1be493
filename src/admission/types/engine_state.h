#pragma once

#include "admission/engine_health.h"
#include "admission/memory_forecast.h"
#include "admission/types/engine_load.h"
#include "admission/unknown_load.h"
#include "configuration/types/document.h"

namespace anvillead {

/// What a scheduler knows about one engine.
struct engine_state
{
    upstream settings;
    service_name service;
    bool leaving = false;
    engine_load load;
    unknown_load unknown;
    engine_health health;
    memory_forecast forecast;
    /// The same without drafts that give way to others, see `placement::priority`.
    memory_forecast firm;
    /// Own grants, and those of lost gateways that the engine may still run.
    int running = 0;
    int urgent = 0;
    int orphaned = 0;
    /// Generations that the newest report shows beyond the own grants.
    int foreign = 0;
    /// Tokens that arrived since the health was last observed.
    double delivered = 0;
    /// Time in which these tokens were generated, summed over the grants.
    double delivered_ms = 0;
    /// Kept for urgent work; takes few other generations.
    bool short_batch = false;
    /// Until the gateways have reported after a takeover, the known use is incomplete.
    bool cautious = false;
    bool usable = false;
    /// Takes no work until it reports again: not reported yet, lost since its newest report, or leaving.
    bool gone = true;
    /// No normal or draft work is granted before.
    instant next_bulk{};
    instant last_grant{};
    /// Prompt tokens of the grants around `last_grant`.
    double recent_prompt = 0;

    int batch() const { return running + foreign; }
    double capacity() const;
};

inline double engine_state::capacity() const
{
    const auto reported = load.capacity.count;
    return static_cast<double>(reported > 0 ? reported : settings.capacity.count);
}

} // namespace anvillead
