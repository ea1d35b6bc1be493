#pragma once

#include <nlohmann/json.hpp>

#include "admission/types/engine_load.h"

namespace anvillead {

/// Largest number of cache events read from one load report; further ones are ignored.
inline constexpr std::size_t cache_events_per_report = 256;

/// Reads the answer of an engine's `/load`. Fields of a wrong type count as absent, invalid cache events are left out.
engine_load read_load(const upstream_id& engine, const nlohmann::json& value);

} // namespace anvillead
