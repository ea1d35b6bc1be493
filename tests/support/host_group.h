#pragma once

#include "tests/support/cluster.h"

namespace testing {

/// Numbers of the hosts in the availability zone of host `number`.
std::vector<int> hosts_of_zone(const cluster& it, int number);
/// All hosts that are not in `group`.
std::vector<int> other_hosts(const cluster& it, const std::vector<int>& group);
/// Runs `action` for agent, scheduler and gateway of each host of the group.
void for_each_daemon(const std::vector<int>& group, const std::function<void(const std::string& name)>& action);
/// Whether the gateways of `viewers` list exactly the gateways of `listed`.
bool list_exactly(cluster& it, const std::vector<int>& viewers, const std::vector<int>& listed);
/// Number of engines of the last takeover that the scheduler of `host` has logged; 0 when it has none.
int engines_of_scheduler(cluster& it, int host);
/// Generations that a process has logged as applied, in order.
std::vector<int> applied_generations(cluster& it, const std::string& name);

} // namespace testing
