#pragma once

#include <cstdint>

#include "core/types/ids.h"

namespace anvillead {

/// Who says that an upstream is leaving. Each source has its own mark; an upstream is leaving while any says so.
enum class upstream_source
{
    /// The upstream's own load report.
    load = 0,
    /// The platform's host list.
    hosts = 1,
    /// The platform's host list, about an entry host; the mark's id is the host's.
    entry_host = 2
};

/// Whether an upstream is leaving. The higher version wins; at equal versions leaving wins.
struct upstream_mark
{
    upstream_id id;
    upstream_source source = upstream_source::load;
    std::uint64_t version = 0;
    bool leaving = false;
};

} // namespace anvillead
