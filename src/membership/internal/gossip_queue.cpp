#include "membership/gossip_queue.h"

#include <algorithm>
#include <tuple>

namespace anvillead {

namespace {

// Updates looked at for one datagram; a datagram holds fewer than ten records.
constexpr std::size_t candidates_limit = 32;

} // namespace

void gossip_queue::fill(std::size_t limit, const std::function<bool(const key&)>& take)
{
    std::vector<std::tuple<bool, std::size_t, key>> order;
    order.reserve(entries_.size());
    for (const auto& [id, it] : entries_) {
        order.emplace_back(it.can_wait, it.sent, id);
    }
    const auto n = std::min(order.size(), candidates_limit);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    for (std::size_t i = 0; i < n; ++i) {
        const auto& id = std::get<key>(order[i]);
        if (take(id) && ++entries_[id].sent >= limit) {
            entries_.erase(id);
        }
    }
}

} // namespace anvillead
