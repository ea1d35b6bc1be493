#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "membership/types/member.h"

namespace anvillead {

/// A group of engines of one service with one responsible scheduler.
struct cell
{
    service_name service;
    std::size_t number = 0;
    std::vector<upstream_id> engines;
};

/// Members that may own work (alive or suspect), highest rendezvous score for `key` first. When none is left, the
/// leaving ones: the last host of a fleet serves the requests that still arrive during its shutdown.
std::vector<member> rank_members(const std::vector<member>& members, const std::string& key);
/// Cells of an engine service, `service::engines_per_cell` of its upstreams each in id order.
std::vector<cell> cells_of(const service& value);
/// Key under which a cell's scheduler is chosen.
std::string placement_key(const cell& value);

} // namespace anvillead
