#pragma once

#include <cstdint>
#include <string>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// What an upstream says about itself in the directory.
struct upstream_record
{
    upstream_id id;
    service_name service;
    /// "address:port"
    std::string address;
    zone_name availability_zone;
    /// Requests that it runs at once.
    int slots = 1;
    /// It finishes what it runs and takes nothing new.
    bool leaving = false;
    /// Wall-clock start in milliseconds; an upstream that starts again under its id has another one. Zero if unknown.
    std::int64_t started_at_ms = 0;
};

} // namespace anvillead
