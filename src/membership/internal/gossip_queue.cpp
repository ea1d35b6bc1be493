#include "membership/gossip_queue.h"

#include <algorithm>

namespace anvillead {

namespace {

// Updates looked at for one datagram; a datagram holds fewer than ten records.
constexpr std::size_t candidates_limit = 32;

} // namespace

void gossip_queue::fill(std::size_t limit, const std::function<bool(const key&)>& take)
{
    std::vector<std::pair<std::size_t, key>> order;
    order.reserve(sent_.size());
    for (const auto& [id, count] : sent_) {
        order.emplace_back(count, id);
    }
    const auto n = std::min(order.size(), candidates_limit);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t i = 0; i < n; ++i) {
        const auto& id = order[i].second;
        if (take(id) && ++sent_[id] >= limit) {
            sent_.erase(id);
        }
    }
}

} // namespace anvillead
