#pragma once

#include <algorithm>
#include <cstddef>

namespace anvillead {

/// Bytes that are buffered for one slow caller before reading from its upstream is paused. With many open streams the
/// limit falls, so that all of them together stay within a quarter of the host's memory, down to one larger event each.
/// `memory_bytes` is 0 if unknown.
inline std::size_t unsent_limit(std::size_t memory_bytes, std::size_t open_streams)
{
    constexpr std::size_t highest = 256 * 1024;
    constexpr std::size_t lowest = 8 * 1024;
    constexpr std::size_t memory_divisor = 4;
    if (memory_bytes == 0) {
        return highest;
    }
    return std::clamp(memory_bytes / memory_divisor / std::max<std::size_t>(1, open_streams), lowest, highest);
}

} // namespace anvillead
