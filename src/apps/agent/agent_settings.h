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
    /// Addresses that other hosts use for links and probes; empty for the ones above.
    std::string link_advertise;
    std::string probe_advertise;
    /// "address:port" for /metrics, /healthz and /readyz; empty for none.
    std::string http_listen;
    /// Link addresses of agents to join through, beside the platform's host list.
    std::vector<std::string> seeds;
    /// Wait after a platform call that failed.
    milliseconds platform_period{500};
    /// Longest time that one watch of the configuration stays open.
    milliseconds watch_wait{10000};
    /// Time between two reads of the platform's host list.
    milliseconds hosts_period{5000};
    /// Agents per availability zone that watch the configuration.
    std::size_t watchers_per_zone = 2;
    /// Time between two membership probes.
    milliseconds probe_period{400};
    /// Time that a suspected member has to refute.
    milliseconds suspicion{3000};
};

agent_settings read_agent_settings(field_reader& reader);

} // namespace anvillead
