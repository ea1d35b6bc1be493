#include "claims/bound_key_codec.h"

#include <charconv>

namespace anvillead {

namespace {

constexpr std::string_view prefix_start = "bk_";
constexpr std::size_t max_prefix_length = 200;
constexpr char separator = '\n';

} // namespace

bound_key_codec::bound_key_codec(const std::vector<std::string>& fleet_keys)
    : prefixes_(fleet_keys, "anvillead bound key"), forwarding_(fleet_keys, "anvillead forwarded request")
{}

std::string bound_key_codec::prefix_for(const bound_key_owner& owner) const
{
    const std::string body = owner.host.str() + separator + std::to_string(owner.number);
    return std::string(prefix_start) + prefixes_.sign(body);
}

result<bound_key_owner> bound_key_codec::owner_of(std::string_view prefix) const
{
    const auto unknown =
        make_error(error_kind::invalid_request, "Idempotency-Key: the prefix was not issued by this fleet");
    if (prefix.size() > max_prefix_length || prefix.substr(0, prefix_start.size()) != prefix_start) {
        return unknown;
    }
    const auto body = prefixes_.verify(prefix.substr(prefix_start.size()));
    const auto split = body ? body->find(separator) : std::string::npos;
    if (split == std::string::npos) {
        return unknown;
    }
    bound_key_owner out{host_id(body->substr(0, split)), 0};
    const char* end = body->data() + body->size();
    if (std::from_chars(body->data() + split + 1, end, out.number).ptr != end) {
        return unknown;
    }
    return out;
}

std::string bound_key_codec::forwarding_signature(std::string_view key) const
{
    return forwarding_.mark(key);
}

bool bound_key_codec::is_forwarding_signature(std::string_view mark, std::string_view key) const
{
    return forwarding_.verify_detached(mark, key);
}

} // namespace anvillead
