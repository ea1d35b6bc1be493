#include "membership/gossip_queue.h"

#include <algorithm>
#include <tuple>

namespace anvillead {

namespace {

// Maximum number of updates that are offered for one datagram, which holds fewer than ten records.
constexpr std::size_t max_candidates = 32;

} // namespace

void gossip_queue::offer(std::size_t limit, const std::function<bool(const key&)>& accept)
{
    std::vector<std::tuple<bool, std::size_t, key>> order;
    order.reserve(entries_.size());
    for (const auto& [id, it] : entries_) {
        order.emplace_back(it.non_urgent, it.sent, id);
    }
    const auto n = std::min(order.size(), max_candidates);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t i = 0; i < n; ++i) {
        const auto& id = std::get<key>(order[i]);
        if (accept(id) && ++entries_[id].sent >= limit) {
            entries_.erase(id);
        }
    }
}

} // namespace anvillead
