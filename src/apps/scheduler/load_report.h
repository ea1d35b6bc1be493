#pragma once

#include <nlohmann/json.hpp>

#include "admission/types/engine_load.h"

namespace anvillead {

/// Maximum number of cache events read from one load report. Further ones are ignored.
inline constexpr std::size_t max_cache_events = 256;

/// Parses the response to an engine's `/load`. Treats fields of a wrong type as absent and skips invalid cache events.
engine_load parse_load_report(const upstream_id& engine, const nlohmann::json& value);

} // namespace anvillead
