#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "membership/types/member.h"

namespace anvillead {

/// A group of engines of one service that is owned by one scheduler.
struct cell
{
    service_name service;
    std::size_t number = 0;
    std::vector<upstream_id> engines;
};

/// Returns the members that may own work (alive or suspect), highest rendezvous hash for `key` first. If there are
/// none, returns the leaving members, so that the last host of a fleet serves the requests that still arrive during
/// its shutdown.
std::vector<member> rank_members(const std::vector<member>& members, const std::string& key);
/// Splits the upstreams of an engine service, sorted by id, into cells of `service::engines_per_cell`.
std::vector<cell> partition_into_cells(const service& value);
/// Rendezvous hashing key that determines the scheduler of a cell.
std::string placement_key(const cell& value);

} // namespace anvillead
