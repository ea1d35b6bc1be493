#pragma once

#include <chrono>
#include <cstdint>

namespace anvillead {

/// Monotonic time. Decision code receives it as an argument instead of reading the clock.
using instant = std::chrono::steady_clock::time_point;
/// Wall-clock time, used only to compare time stamps of different processes.
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A count of model tokens.
struct tokens
{
    std::int64_t count = 0;

    friend tokens operator+(tokens a, tokens b) { return {a.count + b.count}; }
    friend tokens operator-(tokens a, tokens b) { return {a.count - b.count}; }
    friend bool operator<(tokens a, tokens b) { return a.count < b.count; }
    friend bool operator==(tokens a, tokens b) { return a.count == b.count; }
    tokens& operator+=(tokens other)
    {
        count += other.count;
        return *this;
    }
};

/// Number of an accepted configuration; a process never returns to a lower one.
using config_generation = std::uint64_t;
/// Number of a process start on a host; each restart uses a higher one.
using incarnation = std::uint64_t;
/// Zero-based position of an event in a generation's stream.
using sequence_number = std::int64_t;

} // namespace anvillead
