#include "dispatch/responsibility.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/crypto.h"

namespace anvillead {

host_id responsible_host(const std::vector<host_id>& hosts, const std::string& key)
{
    host_id best;
    std::uint64_t best_score = 0;
    for (const auto& it : hosts) {
        const auto score = placement_hash(key + '\n' + it.str());
        if (best.empty() || score > best_score) {
            best = it;
            best_score = score;
        }
    }
    return best;
}

std::vector<host_id> preferred_hosts(const std::vector<task_candidate>& candidates)
{
    std::pair<bool, int> best{false, -1};
    std::vector<host_id> out;
    for (const auto& it : candidates) {
        const std::pair<bool, int> fitness{!it.leaving, it.link_mbps};
        if (fitness < best) {
            continue;
        }
        if (fitness > best) {
            best = fitness;
            out.clear();
        }
        out.push_back(it.host);
    }
    return out;
}

bool follows_platform(const std::vector<follower_candidate>& candidates, const host_id& self, bool follows,
                      std::size_t most_designated)
{
    constexpr const char* key = "platform-follower";
    std::map<zone_name, std::vector<task_candidate>> by_zone;
    for (const auto& it : candidates) {
        if (it.eligible) {
            by_zone[it.availability_zone].push_back({it.host, it.link_mbps, false});
        }
    }
    std::map<zone_name, std::vector<host_id>> zones;
    for (const auto& [zone, hosts] : by_zone) {
        zones[zone] = preferred_hosts(hosts);
    }
    std::set<host_id> designated;
    for (auto& [zone, hosts] : zones) {
        designated.insert(responsible_host(hosts, key));
        if (zones.size() == 1 && hosts.size() > 1) {
            hosts.erase(std::find(hosts.begin(), hosts.end(), *designated.begin()));
            designated.insert(responsible_host(hosts, key));
        }
    }
    std::vector<host_id> removable(designated.begin(), designated.end());
    while (designated.size() > most_designated) {
        const auto chosen = responsible_host(removable, key);
        designated.erase(chosen);
        removable.erase(std::find(removable.begin(), removable.end(), chosen));
    }
    if (designated.count(self) != 0) {
        return true;
    }
    bool any_reachable = false;
    bool designated_reachable = false;
    for (const auto& it : candidates) {
        if (it.host == self || !it.reachable) {
            continue;
        }
        any_reachable = true;
        designated_reachable = designated_reachable || designated.count(it.host) != 0;
    }
    return !any_reachable || (follows && !designated_reachable);
}

bool stands_in_as_follower(const host_id& self, std::size_t hosts, milliseconds unreachable_time)
{
    // The designated hosts are replaced within this time when they are lost.
    constexpr milliseconds first_delay{1000};
    constexpr milliseconds turn{2000};
    constexpr std::size_t stand_ins = 12;
    if (unreachable_time < first_delay || hosts == 0) {
        return false;
    }
    const auto number = static_cast<std::uint64_t>((unreachable_time - first_delay) / turn);
    return placement_hash(self.str(), number) % hosts < stand_ins;
}

} // namespace anvillead
