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

/// Queue of updates to disseminate by gossip. Each is sent a bounded number of times: urgent ones first, then those
/// that were sent least often. Without the two classes, the update of a leaving host would wait behind the records of a
/// fleet that has just started.
class gossip_queue
{
public:
    using key = std::variant<host_id, upstream_leave_table::key>;

    /// Adds an update, or resets its class and send count.
    void push(key id, bool urgent) { entries_[std::move(id)] = {!urgent, 0}; }
    void clear() { entries_.clear(); }
    std::size_t size() const { return entries_.size(); }
    /// Offers updates in order to `accept`, which returns false when the update does not fit. Updates that were
    /// accepted `limit` times are removed from the queue.
    void offer(std::size_t limit, const std::function<bool(const key&)>& accept);

private:
    struct state
    {
        bool non_urgent = false;
        std::size_t sent = 0;
    };

    std::map<key, state> entries_;
};

} // namespace anvillead
