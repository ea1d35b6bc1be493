#include "streams/response_id.h"

namespace anvillead {

namespace {

constexpr std::string_view prefix = "resp_";
constexpr std::size_t max_id_length = 1024;
constexpr char separator = '\n';

} // namespace

response_id_codec::response_id_codec(const std::vector<std::string>& fleet_keys)
    : signer_(fleet_keys, "anvillead response id")
{}

std::string response_id_codec::encode(const response_location& location) const
{
    const std::string body =
        location.organisation.str() + separator + location.engine.str() + separator + location.generation.str();
    return std::string(prefix) + signer_.sign(body);
}

result<response_location> response_id_codec::decode(std::string_view id) const
{
    const auto unknown = make_error(error_kind::not_found, "no response with this id");
    if (id.size() > max_id_length || id.substr(0, prefix.size()) != prefix) {
        return unknown;
    }
    const auto body = signer_.verify(id.substr(prefix.size()));
    if (!body) {
        return unknown;
    }
    const auto first = body->find(separator);
    const auto second = body->find(separator, first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return unknown;
    }
    return response_location{organisation_id(body->substr(0, first)),
                             upstream_id(body->substr(first + 1, second - first - 1)),
                             generation_id(body->substr(second + 1))};
}

} // namespace anvillead
