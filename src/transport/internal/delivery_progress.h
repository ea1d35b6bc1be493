#pragma once

#include <cstdint>
#include <optional>

#include "core/types/units.h"

namespace anvillead {

/// Follows whether a peer takes the bytes that are written to its socket. Bytes are delivered when the peer has
/// acknowledged them, which goes on only while it reads.
class delivery_progress
{
public:
    /// `count` more bytes have been written to the socket.
    void add_written(std::size_t count) { written_ += static_cast<std::int64_t>(count); }
    /// `unacknowledged` is what the kernel still holds of them, `unwritten` what follows. Returns for how long no
    /// progress has been observed at these calls, or nothing if all is delivered.
    std::optional<milliseconds> stalled_for(instant now, std::size_t unacknowledged, std::size_t unwritten);

private:
    std::int64_t written_ = 0;
    std::int64_t acknowledged_ = 0;
    /// Set while bytes are on their way.
    std::optional<instant> progress_at_;
};

} // namespace anvillead
