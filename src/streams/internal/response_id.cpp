#include "streams/response_id.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::string_view prefix = "resp_";
// A truncated HMAC keeps the id short; 128 bits cannot be guessed.
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t longest_id = 1024;
constexpr char separator = '\n';

std::string mac_for(const std::string& key, std::string_view body)
{
    return hmac_sha256(key, body).substr(0, mac_bytes);
}

} // namespace

response_id_codec::response_id_codec(const std::vector<std::string>& fleet_keys)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back(hmac_sha256(it, "anvillead response id"));
    }
}

std::string response_id_codec::encode(const response_location& location) const
{
    const std::string body =
        location.organisation.str() + separator + location.engine.str() + separator + location.generation.str();
    return std::string(prefix) + base64url_encode(mac_for(keys_.front(), body) + body);
}

result<response_location> response_id_codec::decode(std::string_view id) const
{
    const auto unknown = make_error(error_kind::not_found, "no response with this id");
    if (id.size() > longest_id || id.substr(0, prefix.size()) != prefix) {
        return unknown;
    }
    const auto raw = base64url_decode(id.substr(prefix.size()));
    if (!raw || raw->size() <= mac_bytes) {
        return unknown;
    }
    const std::string body = raw->substr(mac_bytes);
    const std::string_view mac = std::string_view(*raw).substr(0, mac_bytes);
    const bool proven = std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
        return constant_time_equal(mac, mac_for(key, body));
    });
    const auto first = body.find(separator);
    const auto second = body.find(separator, first + 1);
    if (!proven || first == std::string::npos || second == std::string::npos) {
        return unknown;
    }
    return response_location{organisation_id(body.substr(0, first)),
                             upstream_id(body.substr(first + 1, second - first - 1)),
                             generation_id(body.substr(second + 1))};
}

} // namespace anvillead
