#include "routing/endpoint_selection.h"

#include <algorithm>
#include <tuple>

#include "core/crypto.h"

namespace anvillead {

std::vector<endpoint> select_endpoints(const std::vector<member>& members, const endpoint_query& query)
{
    struct candidate
    {
        const member* host = nullptr;
        // Sorted ascending: healthy before suspected, own zone before others, then the caller's own random order.
        std::tuple<bool, bool, std::uint64_t> rank;
    };
    std::vector<candidate> candidates;
    for (const auto& it : members) {
        const bool usable = it.state == member_state::alive || it.state == member_state::suspect;
        if (!usable || it.addresses.gateway_http.empty()) {
            continue;
        }
        const bool other_zone = !query.availability_zone.empty() && it.availability_zone != query.availability_zone;
        candidates.push_back(
            {&it,
             {it.state == member_state::suspect, other_zone, placement_hash(query.spread_key + '\n' + it.host.str())}});
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.rank < b.rank; });
    std::vector<endpoint> out;
    for (const auto& it : candidates) {
        if (out.size() >= query.most) {
            break;
        }
        out.push_back({it.host->addresses.gateway_http, it.host->availability_zone});
    }
    return out;
}

} // namespace anvillead
