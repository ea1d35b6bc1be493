#pragma once

#include "apps/common/daemon.h"

namespace anvillead {

struct scheduler_settings
{
    common_settings common;
    /// "address:port" for links of gateways; with port 0 the kernel chooses one.
    std::string listen;
    /// Address that gateways connect to; empty for the listening address.
    std::string advertise;
    /// Link address of the agent on this host.
    std::string agent;
    /// "address:port" for /metrics, /healthz and /readyz; empty for none.
    std::string http_listen;
    milliseconds load_period{200};
    milliseconds tick{20};
    bool prefix_affinity = false;
};

scheduler_settings read_scheduler_settings(field_reader& reader);

} // namespace anvillead
