#pragma once

#include <limits>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Elects the host that performs a task on behalf of all: the one with the highest rendezvous-hash score for the task's
/// key. Hosts that see the same members elect the same host; while their views differ, a task may be done twice or, for
/// a short time, not at all.
host_id responsible_host(const std::vector<host_id>& hosts, const std::string& key);

/// A host that may perform a task on behalf of others.
struct task_candidate
{
    host_id host;
    /// Speed of its network link; 0 if unknown.
    int link_mbps = 0;
    /// The host is shutting down.
    bool leaving = false;
};

/// Returns the candidates best suited to a bandwidth-heavy task: those with the fastest link among the hosts that are
/// not leaving, or among all hosts if all are leaving.
std::vector<host_id> preferred_hosts(const std::vector<task_candidate>& candidates);

/// A live host that may watch the platform on behalf of the others.
struct follower_candidate
{
    host_id host;
    zone_name availability_zone;
    /// The host follows the platform, and the platform responds.
    bool reachable = false;
    /// Speed of its network link. Faster links are preferred, because the other hosts fetch from a follower.
    int link_mbps = 0;
    /// May be designated. In a large fleet, only the relays of the reports are.
    bool eligible = true;
};

/// Returns whether `self` should follow the platform. One host per availability zone is designated, or two if there is
/// only one zone, but at most `most_designated`, so that the number of calls to the platform does not grow with the
/// number of hosts. Other hosts
/// follow the platform only while no host that they know of can reach it. `follows` is the current state: a stand-in
/// keeps following until a designated host reaches the platform, so that two stand-ins do not both yield to each other.
bool follows_platform(const std::vector<follower_candidate>& candidates, const host_id& self, bool follows,
                      std::size_t most_designated = std::numeric_limits<std::size_t>::max());

/// Returns whether `self` should try to reach the platform because none of the designated hosts of a large fleet has
/// reached it for `unreachable_time`. A few hosts try, others after some seconds, in case the platform rejects only
/// some hosts.
bool stands_in_as_follower(const host_id& self, std::size_t hosts, milliseconds unreachable_time);

} // namespace anvillead
