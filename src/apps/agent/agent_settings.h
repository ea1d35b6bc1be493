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
    /// Addresses that other hosts use for links and probes; empty for the listening addresses.
    std::string link_advertise;
    std::string probe_advertise;
    /// "address:port" for /metrics, /healthz and /readyz; empty for none.
    std::string http_listen;
    /// Link addresses of agents to join through, in addition to the platform's host list.
    std::vector<std::string> seeds;
    /// Delay after a failed platform call.
    milliseconds platform_period{500};
    /// Maximum duration of one watch call for the configuration.
    milliseconds watch_wait{10000};
    /// Interval between reads of the platform's host list.
    milliseconds hosts_period{5000};
    /// Agents per availability zone that watch the configuration.
    std::size_t watchers_per_zone = 2;
    /// Interval between membership probes.
    milliseconds probe_period{400};
    /// Time that a suspected member has to refute the suspicion.
    milliseconds suspicion{3000};
};

agent_settings read_agent_settings(field_reader& reader);

} // namespace anvillead
