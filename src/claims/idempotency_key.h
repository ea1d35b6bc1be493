#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Number of object name prefixes over which claims are distributed, so that concurrent writers rarely update the same
/// object.
inline constexpr unsigned claim_shards = 64;
/// Keys whose timestamps fall into the same interval of this length share one claim object per shard.
inline constexpr seconds claim_bucket_span{10};

/// Range of timestamps for which idempotency keys are accepted.
struct key_limits
{
    /// Older keys are refused with the outcome `may_have_run`, because their claims are deleted.
    seconds retention{24 * 60 * 60};
    /// Maximum time by which a key may be ahead of the gateway's clock.
    seconds skew_allowance{30};
    /// Maximum difference between the clocks of two gateways. A key that one gateway refuses as too far in the future
    /// may have been accepted by another, unless it exceeds the allowance by more than this.
    seconds clock_tolerance{30};
};

/// A parsed Idempotency-Key: a UUIDv7, with or without a bound prefix before the last '.'.
struct idempotency_key
{
    std::string bound_prefix;
    /// Lower-case canonical form.
    std::string uuid;
    wall_time stamp;

    bool bound() const { return !bound_prefix.empty(); }
};

/// Returns `invalid_request` unless the key is a UUIDv7, with or without a prefix.
result<idempotency_key> parse_idempotency_key(std::string_view text);
/// Returns `key_in_future` or `key_expired` for a key outside the accepted range; the outcome of the error says whether
/// another gateway may have accepted the key.
result<void> check_key_age(wall_time stamp, wall_time now, const key_limits& limits);
/// Returns the identity under which a request is claimed: a hash of organisation and key, as 32 hexadecimal digits.
std::string claim_identity(const organisation_id& organisation, const idempotency_key& key);
unsigned claim_shard(std::string_view identity);
std::int64_t claim_bucket_number(wall_time stamp);
/// Returns `claims/{shard}/{bucket}`: the shard as two decimal digits and the number of 10 s intervals since the Unix
/// epoch.
std::string claim_object_name(std::string_view identity, wall_time stamp);

} // namespace anvillead
