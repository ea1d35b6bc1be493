#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "core/types/ids.h"
#include "membership/upstream_marks.h"

namespace anvillead {

/// Updates that still have to be spread. Each is sent a bounded number of times; the least sent goes first.
class gossip_queue
{
public:
    using key = std::variant<host_id, upstream_marks::key>;

    void push(key id) { sent_[std::move(id)] = 0; }
    void clear() { sent_.clear(); }
    std::size_t size() const { return sent_.size(); }
    /// Offers updates, least sent first, to `take`, which returns false when the update does not fit. Updates taken
    /// `limit` times leave the queue.
    void fill(std::size_t limit, const std::function<bool(const key&)>& take);

private:
    std::map<key, std::size_t> sent_;
};

} // namespace anvillead
