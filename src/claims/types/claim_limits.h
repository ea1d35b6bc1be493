#pragma once

#include "claims/idempotency_key.h"
#include "core/types/units.h"

namespace anvillead {

/// Limits of the claim journal of one process.
struct claim_limits
{
    key_limits keys;
    /// Claims that arrive within this time share one write.
    milliseconds group_window{3};
    /// Minimum time between two writes to objects of one shard.
    milliseconds shard_write_gap{50};
    /// Writes per second of all gateways together; the platform accepts several hundred.
    unsigned writes_per_second = 280;
    /// Writes that may follow each other without a delay after an idle period.
    unsigned write_burst = 20;
    /// Reads per second of all gateways together; the platform accepts two thousand.
    unsigned reads_per_second = 1400;
    unsigned read_burst = 100;
    /// After a conflict an object is read again before a write if its cached content is older than this.
    milliseconds contended_max_age{10};
    /// Maximum number of operations that wait or are being written; further ones are refused as `overloaded`.
    std::size_t queue = 2000;
    /// Maximum number of operations in one write.
    std::size_t batch = 256;
    /// Maximum size of a claim object; the platform accepts values of up to a megabyte.
    std::size_t max_object_bytes = 900'000;
    /// Answers that would make a claim object larger than this are not stored, so that claims always have room.
    std::size_t max_bytes_with_answers = 450'000;
    /// Number of claim objects in memory above which those without operations are evicted.
    std::size_t max_cached_objects = 1024;
    /// A claim or lookup that the platform has not answered is refused after this time.
    milliseconds claim_timeout{2000};
    /// A withdrawal is reported as unconfirmed after this time.
    milliseconds withdrawal_timeout{2000};
    /// Time for which withdrawals and answers that could not be written are retried in the background.
    milliseconds cleanup_timeout{30000};
    /// Delay before the next call for an object after a failed one.
    milliseconds retry_backoff{100};
    /// After this many consecutive failed calls, waiting claims are refused immediately.
    unsigned failures_until_unavailable = 3;
    /// Retry-After of claims that are refused because of overload or an outage of the platform.
    milliseconds retry_after{2000};
};

} // namespace anvillead
