#include "core/token_signer.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

// The HMAC is truncated to keep tokens short; 128 bits cannot be guessed.
constexpr std::size_t mac_bytes = 16;

std::string truncated_mac(const std::string& key, std::string_view data)
{
    return hmac_sha256(key, data).substr(0, mac_bytes);
}

} // namespace

token_signer::token_signer(const std::vector<std::string>& fleet_keys, std::string_view label)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back(hmac_sha256(it, label));
    }
}

std::string token_signer::sign(std::string_view body) const
{
    return base64url_encode(truncated_mac(keys_.front(), body).append(body));
}

std::optional<std::string> token_signer::verify(std::string_view token) const
{
    const auto raw = base64url_decode(token);
    if (!raw || raw->size() <= mac_bytes) {
        return std::nullopt;
    }
    auto body = raw->substr(mac_bytes);
    if (!is_valid_mac(std::string_view(*raw).substr(0, mac_bytes), body)) {
        return std::nullopt;
    }
    return body;
}

std::string token_signer::mark(std::string_view data) const
{
    return base64url_encode(truncated_mac(keys_.front(), data));
}

bool token_signer::verify_detached(std::string_view mark, std::string_view data) const
{
    const auto raw = base64url_decode(mark);
    return raw && is_valid_mac(*raw, data);
}

bool token_signer::is_valid_mac(std::string_view mac, std::string_view data) const
{
    return std::any_of(keys_.begin(), keys_.end(),
                       [&](const std::string& key) { return constant_time_equal(mac, truncated_mac(key, data)); });
}

} // namespace anvillead
