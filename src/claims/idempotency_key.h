#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Claims are spread over this many object name prefixes, so that concurrent writers seldom meet on one object.
inline constexpr unsigned claim_shards = 64;
/// Keys whose time stamps fall into the same interval share one claim object per shard.
inline constexpr seconds claim_bucket_span{10};

/// Which time stamps of idempotency keys are served.
struct key_limits
{
    /// Older keys get a final `may_have_run`; their claims are deleted.
    seconds retention{24 * 60 * 60};
    /// A key may be this far ahead of the gateway's clock.
    seconds skew_allowance{30};
    /// Largest difference between the clocks of two gateways. A key refused by one gateway as too far in the future may
    /// have been served by another one, unless it is beyond the allowance by more than this.
    seconds clock_tolerance{30};
};

/// An Idempotency-Key that holds a UUIDv7, with or without a bound prefix before the last '.'.
struct idempotency_key
{
    std::string bound_prefix;
    /// Lower-case canonical form.
    std::string uuid;
    wall_time stamp;

    bool bound() const { return !bound_prefix.empty(); }
};

/// `invalid_request` unless the key is a UUIDv7, with or without a prefix.
result<idempotency_key> parse_idempotency_key(std::string_view text);
/// `key_in_future` or `key_expired` with an accurate outcome; success inside the window.
result<void> check_key_age(wall_time stamp, wall_time now, const key_limits& limits);
/// Hash of organisation and key: the identity under which a request is claimed. 32 hexadecimal digits.
std::string claim_identity(const organisation_id& organisation, const idempotency_key& key);
unsigned claim_shard(std::string_view identity);
std::int64_t claim_bucket_number(wall_time stamp);
/// `claims/{shard}/{bucket}`: two decimal digits, then the number of 10 s intervals since the Unix epoch.
std::string claim_object_name(std::string_view identity, wall_time stamp);

} // namespace anvillead
