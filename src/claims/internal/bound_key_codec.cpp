#include "claims/bound_key_codec.h"

#include <algorithm>
#include <charconv>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view prefix_start = "bk_";
// A truncated HMAC keeps the key short; 128 bits cannot be guessed.
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t longest_prefix = 200;
constexpr char separator = '\n';

std::string mac_for(const std::string& key, std::string_view body)
{
    return hmac_sha256(key, body).substr(0, mac_bytes);
}

} // namespace

bound_key_codec::bound_key_codec(const std::vector<std::string>& fleet_keys)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back({hmac_sha256(it, "anvillead bound key"), hmac_sha256(it, "anvillead forwarded request")});
    }
}

std::string bound_key_codec::prefix_for(const bound_key_owner& owner) const
{
    const std::string body = owner.host.str() + separator + std::to_string(owner.number);
    return std::string(prefix_start) + base64url_encode(mac_for(keys_.front().prefix, body) + body);
}

result<bound_key_owner> bound_key_codec::owner_of(std::string_view prefix) const
{
    const auto unknown = make_error(error_kind::invalid_request, "Idempotency-Key: the prefix was not issued here");
    if (prefix.size() > longest_prefix || prefix.substr(0, prefix_start.size()) != prefix_start) {
        return unknown;
    }
    const auto raw = base64url_decode(prefix.substr(prefix_start.size()));
    if (!raw || raw->size() <= mac_bytes) {
        return unknown;
    }
    const std::string_view mac = std::string_view(*raw).substr(0, mac_bytes);
    const std::string body = raw->substr(mac_bytes);
    const bool proven = std::any_of(keys_.begin(), keys_.end(), [&](const derived_keys& it) {
        return constant_time_equal(mac, mac_for(it.prefix, body));
    });
    const auto split = body.find(separator);
    if (!proven || split == std::string::npos) {
        return unknown;
    }
    bound_key_owner out{host_id(body.substr(0, split)), 0};
    const char* end = body.data() + body.size();
    if (std::from_chars(body.data() + split + 1, end, out.number).ptr != end) {
        return unknown;
    }
    return out;
}

std::string bound_key_codec::forwarding_mark(std::string_view key) const
{
    return base64url_encode(mac_for(keys_.front().forwarding, key));
}

bool bound_key_codec::is_forwarding_mark(std::string_view mark, std::string_view key) const
{
    const auto raw = base64url_decode(mark);
    return raw && std::any_of(keys_.begin(), keys_.end(), [&](const derived_keys& it) {
               return constant_time_equal(*raw, mac_for(it.forwarding, key));
           });
}

} // namespace anvillead
