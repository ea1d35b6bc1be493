#pragma once

#include "admission/engine_health.h"
#include "admission/external_load.h"
#include "admission/memory_forecast.h"
#include "admission/types/engine_load.h"
#include "configuration/types/document.h"

namespace anvillead {

/// State of one engine as known to a scheduler.
struct engine_state
{
    upstream settings;
    service_name service;
    bool leaving = false;
    engine_load load;
    external_load external;
    engine_health health;
    memory_forecast forecast;
    /// Forecast without preemptible drafts, see `placement::priority`.
    memory_forecast non_preemptible_forecast;
    /// Number of this scheduler's grants, including those of lost gateways that the engine may still run; of these,
    /// the urgent ones and those of lost gateways.
    int running = 0;
    int urgent = 0;
    int orphaned = 0;
    /// Generations in the newest report beyond the grants of this scheduler.
    int external_running = 0;
    /// Tokens delivered since the last health observation.
    double delivered_tokens = 0;
    /// Time in which these tokens were generated, summed over the grants.
    double generation_ms = 0;
    /// Reserved for urgent work, with a short batch: takes few generations of other classes.
    bool short_batch = false;
    /// Set after a takeover until the gateways have reported; until then the known memory use is incomplete.
    bool in_takeover = false;
    bool usable = false;
    /// Gets no work: it has not reported yet, was lost after its newest report, or is leaving.
    bool out_of_service = true;
    /// Time until which the prompts of granted normal and draft work use up `placement_settings::bulk_prompt_rate`.
    instant bulk_prompts_done{};
    instant last_grant{};
    /// Prompt tokens of the last grants, each made within `placement_settings::prompt_window` of the one before.
    double recent_prompt_tokens = 0;

    int batch() const { return running + external_running; }
    double capacity() const;
};

inline double engine_state::capacity() const
{
    const auto reported = load.capacity.count;
    return static_cast<double>(reported > 0 ? reported : settings.capacity.count);
}

} // namespace anvillead
