#pragma once

#include <cstdint>

#include "core/types/ids.h"

namespace anvillead {

/// Source of a leaving status. Each source has its own status; an upstream is leaving while any of them says so.
enum class upstream_source
{
    /// The upstream's own load report.
    load = 0,
    /// The platform's host list.
    hosts = 1,
    /// The platform's host list, about an entry host; the id of the status is the id of the host.
    entry_host = 2
};

/// Leaving status of an upstream according to one source. The higher version wins; at equal versions leaving wins.
struct upstream_leave_status
{
    upstream_id id;
    upstream_source source = upstream_source::load;
    std::uint64_t version = 0;
    bool leaving = false;
};

} // namespace anvillead
