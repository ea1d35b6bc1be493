#include "fleet/internal/cbor_datagram.h"

#include <algorithm>

#include "core/bounded_json.h"

namespace anvillead {

namespace {

constexpr std::int64_t unset_age = -1;
// Keeps the arithmetic of times within its range.
constexpr std::int64_t max_age_ms = 24 * 3600 * 1000;

} // namespace

std::string to_cbor_text(const nlohmann::json& value)
{
    const auto bytes = nlohmann::json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

std::optional<nlohmann::json> parse_datagram_kind(std::string_view datagram, const char* kind, std::size_t count)
{
    auto parsed = parse_bounded_cbor(datagram);
    if (!parsed || !parsed->is_array() || parsed->size() != count || (*parsed)[0] != kind) {
        return std::nullopt;
    }
    return parsed;
}

std::int64_t age_of(instant now, instant at)
{
    if (at == instant{}) {
        return unset_age;
    }
    return std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - at).count());
}

instant time_of(instant now, const nlohmann::json& age)
{
    const auto value = age.get<std::int64_t>();
    return value < 0 ? instant{} : now - milliseconds(std::min(value, max_age_ms));
}

} // namespace anvillead
