#pragma once

#include <cstdint>
#include <string>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Directory entry that an upstream publishes about itself.
struct upstream_record
{
    upstream_id id;
    service_name service;
    /// "address:port"
    std::string address;
    zone_name availability_zone;
    /// Requests that it runs concurrently.
    int slots = 1;
    /// The upstream drains: it finishes running requests and accepts no new ones.
    bool leaving = false;
    /// Wall-clock start time in milliseconds; differs after a restart under the same id. Zero if unknown.
    std::int64_t started_at_ms = 0;
    /// How long the upstream stays cold, as it said when it published this entry.
    milliseconds warmup_left{0};
};

} // namespace anvillead
