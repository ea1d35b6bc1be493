#include "claims/idempotency_key.h"

#include <cctype>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
// 128 bits of the digest, which makes accidental collisions negligible.
constexpr std::size_t identity_digits = 32;

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

bool is_uuid_v7(const std::string& text)
{
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : hex_value(text[i]) < 0) {
            return false;
        }
    }
    const int variant = hex_value(text[variant_position]);
    return text[version_position] == '7' && variant >= 8 && variant <= 11;
}

/// Returns the first 48 bits of a UUIDv7, which hold the milliseconds since the Unix epoch.
wall_time uuid_stamp(const std::string& uuid)
{
    std::int64_t ms = 0;
    for (std::size_t i = 0; i < 13; ++i) {
        if (uuid[i] != '-') {
            ms = ms * 16 + hex_value(uuid[i]);
        }
    }
    return wall_time(milliseconds(ms));
}

} // namespace

result<idempotency_key> parse_idempotency_key(std::string_view text)
{
    idempotency_key out;
    const auto dot = text.rfind('.');
    if (dot != std::string_view::npos) {
        out.bound_prefix = std::string(text.substr(0, dot));
        text.remove_prefix(dot + 1);
    }
    for (const char c : text) {
        out.uuid += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    if (!is_uuid_v7(out.uuid) || (dot != std::string_view::npos && out.bound_prefix.empty())) {
        return make_error(error_kind::invalid_request, "Idempotency-Key: expected a UUIDv7");
    }
    out.stamp = uuid_stamp(out.uuid);
    return out;
}

result<void> check_key_age(wall_time stamp, wall_time now, const key_limits& limits)
{
    if (stamp > now + limits.skew_allowance) {
        auto reason = make_error(error_kind::key_in_future, "the key's timestamp is ahead of the gateway's clock");
        if (stamp <= now + limits.skew_allowance + limits.clock_tolerance) {
            reason.outcome = run_outcome::may_have_run;
        }
        return reason;
    }
    if (stamp < now - limits.retention) {
        return make_error(error_kind::key_expired, "the key is older than the retention period");
    }
    return success();
}

std::string claim_identity(const organisation_id& organisation, const idempotency_key& key)
{
    return sha256_hex(organisation.str() + '\n' + key.bound_prefix + '\n' + key.uuid).substr(0, identity_digits);
}

unsigned claim_shard(std::string_view identity)
{
    const int high = hex_value(identity[0]);
    const int low = hex_value(identity[1]);
    return static_cast<unsigned>(high * 16 + low) % claim_shards;
}

std::int64_t claim_bucket_number(wall_time stamp)
{
    return std::chrono::duration_cast<seconds>(stamp.time_since_epoch()) / claim_bucket_span;
}

std::string claim_object_name(std::string_view identity, wall_time stamp)
{
    return fmt::format("claims/{:02}/{}", claim_shard(identity), claim_bucket_number(stamp));
}

} // namespace anvillead
