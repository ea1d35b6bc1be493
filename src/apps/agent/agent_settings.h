#pragma once

#include "apps/common/daemon.h"

namespace anvillead {

struct agent_settings
{
    common_settings common;
    /// "address:port" for links of the local gateway and scheduler and of other agents.
    std::string link_listen;
    /// "address:port" for membership probes.
    std::string probe_listen;
    milliseconds platform_period{500};
    milliseconds watch_wait{10000};
};

agent_settings read_agent_settings(field_reader& reader);

} // namespace anvillead
