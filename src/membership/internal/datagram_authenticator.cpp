#include "membership/datagram_authenticator.h"

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view key_label = "anvillead membership datagram 1";

} // namespace

datagram_authenticator::datagram_authenticator(const std::vector<std::string>& fleet_keys)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back(hmac_sha256(it, key_label));
    }
}

std::string datagram_authenticator::sign(std::string payload) const
{
    payload += hmac_sha256(keys_.front(), payload);
    return payload;
}

std::optional<std::string_view> datagram_authenticator::verify(std::string_view datagram) const
{
    if (datagram.size() <= tag_bytes) {
        return std::nullopt;
    }
    const auto payload = datagram.substr(0, datagram.size() - tag_bytes);
    const auto tag = datagram.substr(payload.size());
    for (const auto& it : keys_) {
        if (constant_time_equal(hmac_sha256(it, payload), tag)) {
            return payload;
        }
    }
    return std::nullopt;
}

} // namespace anvillead
