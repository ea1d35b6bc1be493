#include "membership/datagram_seal.h"

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view key_label = "anvillead membership datagram 1";

} // namespace

datagram_seal::datagram_seal(const std::vector<std::string>& fleet_keys)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back(hmac_sha256(it, key_label));
    }
}

std::string datagram_seal::seal(std::string payload) const
{
    payload += hmac_sha256(keys_.front(), payload);
    return payload;
}

std::optional<std::string_view> datagram_seal::open(std::string_view datagram) const
{
    if (datagram.size() <= overhead) {
        return std::nullopt;
    }
    const auto payload = datagram.substr(0, datagram.size() - overhead);
    const auto proof = datagram.substr(payload.size());
    for (const auto& it : keys_) {
        if (constant_time_equal(hmac_sha256(it, payload), proof)) {
            return payload;
        }
    }
    return std::nullopt;
}

} // namespace anvillead
