#pragma once

#include <cstdint>
#include <deque>

#include "core/types/units.h"

namespace anvillead {

struct brief_room_limits
{
    /// After this time without brief requests, half of the places remain.
    milliseconds half_life{5000};
    /// Memory of a place relative to the average brief request, since single ones are larger.
    double size_margin = 1.25;
    /// Upper bound of the places, as many as brief requests are counted.
    std::size_t max_places = 4096;
};

/// Places that are kept free for brief requests: as many as ran or waited together recently, each with the memory of
/// one. A share of each engine's memory would be smaller than one request. Sans-I/O; not thread-safe.
class brief_room
{
public:
    explicit brief_room(brief_room_limits limits = {}) : limits_(limits) {}

    /// An brief request was placed, which takes about `time`.
    void add(instant now, std::int64_t memory_tokens, milliseconds time);
    /// Updates the number of places by the number of brief requests that wait.
    void observe(instant now, std::size_t waiting);

    std::size_t places() const { return static_cast<std::size_t>(peak_ + rounding); }
    /// Memory of one place.
    std::int64_t place_tokens() const { return static_cast<std::int64_t>(average_tokens_ * limits_.size_margin); }

private:
    /// Part of a place from which it counts as one.
    static constexpr double rounding = 0.5;

    brief_room_limits limits_;
    /// When the placed requests will have ended, in order of their placement.
    std::deque<instant> ends_;
    double peak_ = 0;
    /// Moving average of the memory of brief requests.
    double average_tokens_ = 0;
    instant observed_{};
};

} // namespace anvillead
