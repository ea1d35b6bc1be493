#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/types/units.h"

namespace anvillead {

std::string to_cbor_text(const nlohmann::json& value);
/// Parses a datagram; returns its array if the first element is `kind` and it has `count` elements.
std::optional<nlohmann::json> parse_datagram_kind(std::string_view datagram, const char* kind, std::size_t count);

/// Decodes a datagram of `kind` with `decode`, which throws json::exception where a field has another type. Returns
/// nothing for a datagram of another kind, program or version.
template <typename T, typename Decode>
std::optional<T> decode_datagram_kind(std::string_view datagram, const char* kind, std::size_t count, Decode decode)
{
    const auto in = parse_datagram_kind(datagram, kind, count);
    if (!in) {
        return std::nullopt;
    }
    try {
        return decode(*in);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

/// Milliseconds since `at`, for hosts that share no clock; -1 for an unset time.
std::int64_t age_of(instant now, instant at);
/// The time that `age_of` was made from, plus the delay of the network. Ages over a day count as a day.
instant time_of(instant now, const nlohmann::json& age);

} // namespace anvillead
