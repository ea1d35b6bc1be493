#pragma once

#include "tests/support/cluster.h"

namespace testing {

/// Returns the numbers of the hosts in the availability zone of host `number`.
std::vector<int> hosts_in_zone_of(const cluster& it, int number);
/// Returns all hosts that are not in `group`.
std::vector<int> other_hosts(const cluster& it, const std::vector<int>& group);
/// Runs `action` for the agent, the scheduler and the gateway of each host in the group.
void for_each_daemon(const std::vector<int>& group, const std::function<void(const std::string& name)>& action);
/// Returns whether the gateways of `viewers` list exactly the gateways of `listed`.
bool lists_exactly(cluster& it, const std::vector<int>& viewers, const std::vector<int>& listed);
/// Returns the number of engines in the last takeover logged by the scheduler of `host`; 0 if none is logged.
int engines_at_last_takeover(cluster& it, int host);
/// Returns the configuration generations that a process has logged as applied, in order.
std::vector<int> applied_generations(cluster& it, const std::string& name);

} // namespace testing
