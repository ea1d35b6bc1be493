#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

enum class member_state
{
    alive = 0,
    suspect = 1,
    leaving = 2,
    dead = 3
};

inline constexpr std::array<std::string_view, 4> member_state_names = {"alive", "suspect", "leaving", "dead"};

inline std::string_view to_string(member_state value)
{
    return member_state_names[static_cast<std::size_t>(value)];
}

/// Listening addresses of the daemons of one host, each as "address:port"; empty while a daemon is not running.
struct member_addresses
{
    std::string agent_udp;
    std::string agent_link;
    std::string gateway_http;
    std::string gateway_link;
    std::string scheduler_link;
};

/// Record of one entry host.
struct member
{
    host_id host;
    zone_name availability_zone;
    incarnation number = 0;
    /// Raised by the member itself when its record changes or when it refutes a suspicion; the higher version wins.
    std::uint64_t version = 0;
    /// In records between agents: alive, suspect or dead. In views, `leaving` takes precedence over alive and suspect.
    member_state state = member_state::alive;
    /// The host is leaving; never reset within an incarnation.
    bool leaving = false;
    /// The gateway or scheduler of the host is shutting down. Its address for new work is empty in views.
    bool gateway_leaving = false;
    bool scheduler_leaving = false;
    member_addresses addresses;
    /// Generation of the configuration that this member has applied.
    config_generation generation = 0;
};

} // namespace anvillead
