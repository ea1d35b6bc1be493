#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"
#include "dispatch/types/upstream_work.h"

namespace anvillead {

/// Addresses of a host that others need, each "address:port".
struct host_addresses
{
    /// Where callers connect.
    std::string frontend;
    /// Where other hosts fetch the configuration and the directory.
    std::string control;
    /// Where reports are received (UDP).
    std::string report;
};

/// What a host tells the others several times a second.
struct host_report
{
    host_id host;
    /// Differs between process starts. Not ordered: the wall clock may step.
    std::string incarnation;
    /// Rises with each report of an incarnation.
    std::uint64_t sequence = 0;
    zone_name availability_zone;
    host_addresses addresses;
    /// It takes callers.
    bool ready = false;
    /// It shuts down; callers should go elsewhere.
    bool leaving = false;
    /// Version of the configuration in force; 0 for none.
    config_generation configuration = 0;
    /// Platform revision that its view of the upstreams has reached.
    std::uint64_t directory_revision = 0;
    std::map<upstream_id, upstream_work> work;
    /// This host follows the platform's directory of upstreams.
    bool platform_reachable = false;
    /// Upstreams that told this host that they leave while the directory could not be read.
    std::vector<upstream_id> leaving_upstreams;
    /// Report addresses of other live hosts, so that a host that starts with one contact learns of all.
    std::vector<std::string> contacts;
};

} // namespace anvillead
