#pragma once

#include <optional>
#include <vector>

#include "dispatch/engine_speeds.h"
#include "dispatch/load_table.h"
#include "dispatch/types/route_table.h"
#include "dispatch/upstream_directory.h"

namespace anvillead {

/// Weights of the cost function for upstreams. Costs are in milliseconds of delay for the request or for others on the
/// same upstream.
struct selection_weights
{
    /// Prefill rate next to running generations, in prompt tokens per millisecond.
    double prompt_tokens_per_ms = 7;
    /// Slowdown of the requests on the same upstream for each request that runs there.
    double active_ms = 20;
    /// Time in which an engine of usual speed generates one token beside other work.
    double token_ms = 10;
    /// Traffic between availability zones is expensive; an upstream in the local zone is preferred up to this
    /// difference in cost.
    double other_zone_ms = 60;
    /// Cost of a failed request; multiplied by the recent failure ratio.
    double failure_ms = 3000;
    /// Wait behind each copy that an engine sends or receives; 0 for requests that need no copy.
    double copy_ms = 0;
    /// Fraction of an engine's memory that may be reserved; the rest absorbs answers that are longer than expected.
    double memory_share = 0.92;
    /// A cold upstream is slow, and may only get few requests; a warm one with about as much work is preferred.
    double cold_ms = 100;
    /// Places for brief requests that have to remain in the service, and the memory of one.
    std::size_t kept_places = 0;
    std::int64_t place_tokens = 0;
    /// Fraction of an engine's memory that brief requests may use.
    double urgent_memory_share = 0.99;
    /// Service time of a plain call; scales the cost of queueing.
    double plain_call_ms = 40;
};

/// Weights for selecting the engine that a running generation is moved to.
selection_weights move_weights();

/// Resources that a generation needs on an engine.
struct generation_need
{
    /// Tokens of the prompt and the expected output.
    std::int64_t memory_tokens = 0;
    /// Of `memory_tokens`: what the engine has to read, and what it is expected to generate.
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    /// Differs between requests, so that concurrent selections of different hosts break ties differently.
    std::uint64_t tie_breaker = 0;
};

/// Input of a selection.
struct selection_input
{
    instant now{};
    const upstream_directory* directory = nullptr;
    const load_table* loads = nullptr;
    zone_name own_zone;
    /// Upstreams that already failed or refused this request.
    std::vector<upstream_id> excluded;
    /// Null if all engines count as equally fast.
    const engine_speeds* speeds = nullptr;
};

/// Returns the usable engine with the lowest cost for a generation, or nothing if none has free capacity.
std::optional<upstream_record> select_engine(const selection_input& input, const service_profile& service,
                                             const generation_need& need, const selection_weights& weights = {});

/// Returns the usable upstream of a plain service with the lowest cost, or nothing if there is none.
std::optional<upstream_record> select_instance(const selection_input& input, const service_name& service,
                                               std::uint64_t tie_breaker, const selection_weights& weights = {});

} // namespace anvillead
