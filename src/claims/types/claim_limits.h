#pragma once

#include "claims/idempotency_key.h"
#include "core/types/units.h"

namespace anvillead {

/// Bounds of one process's claim journal.
struct claim_limits
{
    key_limits keys;
    /// Claims that arrive within this time share one write.
    milliseconds group_window{3};
    /// Least time between two writes to objects of one shard.
    milliseconds shard_write_gap{50};
    /// Writes per second of all gateways together, below the several hundred that the platform takes.
    unsigned writes_per_second = 280;
    /// Writes that may follow each other without a pause after an idle time.
    unsigned write_burst = 20;
    /// Reads per second of all gateways together, below the two thousand that the platform takes.
    unsigned reads_per_second = 1400;
    unsigned read_burst = 100;
    /// After a conflict an object is read again before a write when its contents are older than this.
    milliseconds contended_age{10};
    /// Operations that wait or are being written; more are refused as `overloaded`.
    std::size_t queue = 2000;
    /// Operations in one write.
    std::size_t batch = 256;
    /// Largest claim object; the platform takes values up to a megabyte.
    std::size_t object_bytes = 900'000;
    /// Stored answers are dropped above this size, so that they never take the room of claims.
    std::size_t answers_bytes = 450'000;
    /// Claim objects kept in memory without a waiting operation.
    std::size_t cached_objects = 1024;
    /// A claim or lookup without an answer of the platform is refused after this time.
    milliseconds claim_timeout{2000};
    /// A withdrawal is reported as unconfirmed after this time.
    milliseconds withdraw_timeout{2000};
    /// Withdrawals and answers that could not be written are tried again in the background for this long.
    milliseconds cleanup_timeout{30000};
    /// Pause after a failed call.
    milliseconds retry_backoff{100};
    /// After this many failed calls without a successful one, waiting claims are refused at once.
    unsigned failures_until_down = 3;
    /// Retry-After of a refusal because the platform does not answer.
    milliseconds retry_after{2000};
};

} // namespace anvillead
