#include "dispatch/responsibility.h"

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

} // namespace anvillead
