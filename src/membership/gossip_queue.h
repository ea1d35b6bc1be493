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

/// Updates that still have to be spread. Each is sent a bounded number of times; urgent ones go first, then the least
/// sent. Without the two classes news of a leaving host waits behind the records of a fleet that has just started.
class gossip_queue
{
public:
    using key = std::variant<host_id, upstream_marks::key>;

    void push(key id, bool urgent) { entries_[std::move(id)] = {!urgent, 0}; }
    void clear() { entries_.clear(); }
    std::size_t size() const { return entries_.size(); }
    /// Offers updates in order to `take`, which returns false when the update does not fit. Updates taken
    /// `limit` times leave the queue.
    void fill(std::size_t limit, const std::function<bool(const key&)>& take);

private:
    struct state
    {
        bool can_wait = false;
        std::size_t sent = 0;
    };

    std::map<key, state> entries_;
};

} // namespace anvillead
