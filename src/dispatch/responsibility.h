#pragma once

#include <string>
#include <vector>

#include "core/types/ids.h"

namespace anvillead {

/// The host that does a task which one host does for all: the highest rendezvous score for the task's key. All hosts
/// that see the same members agree; while they disagree, a task may be done twice or, for a moment, by none.
host_id responsible_host(const std::vector<host_id>& hosts, const std::string& key);

} // namespace anvillead
