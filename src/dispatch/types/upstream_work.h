#pragma once

#include <cstdint>

namespace anvillead {

/// Load that one host, or all hosts together, have placed on one upstream.
struct upstream_work
{
    /// Requests in flight.
    int active = 0;
    /// Prompt tokens waiting for prefill: those of generations whose first event has not arrived.
    std::int64_t unread_tokens = 0;
    /// Engine memory, in tokens, that its generations and incoming copies are expected to need.
    std::int64_t memory_tokens = 0;
    /// Copies of generation memory that this upstream sends or receives.
    int copies = 0;
    /// Generations whose least gap between two events is known, and the sum of these gaps in tenths of a millisecond.
    int paced = 0;
    std::int64_t gap_sum = 0;

    bool empty() const { return active == 0 && unread_tokens == 0 && memory_tokens == 0 && copies == 0 && paced == 0; }

    friend bool operator==(const upstream_work& a, const upstream_work& b)
    {
        return a.active == b.active && a.unread_tokens == b.unread_tokens && a.memory_tokens == b.memory_tokens &&
               a.copies == b.copies && a.paced == b.paced && a.gap_sum == b.gap_sum;
    }
    friend bool operator!=(const upstream_work& a, const upstream_work& b) { return !(a == b); }

    upstream_work& operator+=(const upstream_work& other)
    {
        active += other.active;
        unread_tokens += other.unread_tokens;
        memory_tokens += other.memory_tokens;
        copies += other.copies;
        paced += other.paced;
        gap_sum += other.gap_sum;
        return *this;
    }
};

} // namespace anvillead
