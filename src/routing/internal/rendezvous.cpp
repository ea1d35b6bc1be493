#include "routing/rendezvous.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

std::vector<member> rank_members(const std::vector<member>& members, const std::string& key)
{
    std::vector<std::pair<std::uint64_t, const member*>> scored;
    const auto is_active = [](const member& it) {
        return it.state == member_state::alive || it.state == member_state::suspect;
    };
    const bool only_leaving_left = std::none_of(members.begin(), members.end(), is_active);
    for (const auto& it : members) {
        if (it.state == member_state::dead || (it.state == member_state::leaving && !only_leaving_left)) {
            continue;
        }
        scored.emplace_back(placement_hash(it.host.str(), placement_hash(key)), &it);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<member> out;
    out.reserve(scored.size());
    for (const auto& it : scored) {
        out.push_back(*it.second);
    }
    return out;
}

std::vector<cell> partition_into_cells(const service& value)
{
    std::vector<upstream_id> ids;
    for (const auto& it : value.upstreams) {
        ids.push_back(it.id);
    }
    std::sort(ids.begin(), ids.end());
    std::vector<cell> out;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (i % static_cast<std::size_t>(value.engines_per_cell) == 0) {
            out.push_back({value.name, out.size(), {}});
        }
        out.back().engines.push_back(ids[i]);
    }
    return out;
}

std::string placement_key(const cell& value)
{
    return fmt::format("cell/{}/{}", value.service.str(), value.number);
}

} // namespace anvillead
