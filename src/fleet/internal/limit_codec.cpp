#include "fleet/limit_codec.h"

#include <algorithm>
#include <cmath>

#include "fleet/internal/cbor_datagram.h"
#include "fleet/report_codec.h"

namespace anvillead {

namespace {

using nlohmann::json;

// The first element distinguishes these datagrams from the other kinds.
constexpr const char* limits_kind = "l1";
constexpr const char* rate_request_kind = "rq1";
constexpr const char* rate_response_kind = "ra1";
constexpr const char* slot_release_kind = "rs1";
constexpr std::size_t slot_release_fields = 3;
constexpr std::size_t limits_fields = 2;
constexpr std::size_t rate_request_fields = 4;
constexpr std::size_t rate_response_fields = 3;
constexpr std::int64_t max_wait_ms = 3'600'000;

json encode_limit(instant now, const upstream_limit& value)
{
    return {value.upstream.str(), value.rate, age_of(now, value.at), value.tolerated_refusals};
}

/// Throws json::exception where a field has another type.
upstream_limit decode_limit(instant now, const json& in)
{
    upstream_limit out;
    out.upstream = upstream_id(in.at(0).get<std::string>());
    out.rate = in.at(1).get<double>();
    out.at = time_of(now, in.at(2));
    out.tolerated_refusals = in.at(3).get<double>();
    if (!std::isfinite(out.rate)) {
        out.rate = -1;
    }
    if (!std::isfinite(out.tolerated_refusals)) {
        out.tolerated_refusals = -1;
    }
    return out;
}

} // namespace

std::vector<std::string> encode_limits(instant now, const std::vector<upstream_limit>& values)
{
    std::vector<std::string> out;
    auto items = json::array();
    std::size_t size = 0;
    const auto flush = [&] { out.push_back(to_cbor_text({limits_kind, std::exchange(items, json::array())})); };
    for (const auto& it : values) {
        auto item = encode_limit(now, it);
        const auto item_size = json::to_cbor(item).size();
        if (size > 0 && size + item_size > max_datagram_bytes) {
            flush();
            size = 0;
        }
        items.push_back(std::move(item));
        size += item_size;
    }
    if (!items.empty()) {
        flush();
    }
    return out;
}

std::optional<std::vector<upstream_limit>> decode_limits(instant now, std::string_view datagram)
{
    return decode_datagram_kind<std::vector<upstream_limit>>(datagram, limits_kind, limits_fields,
                                                             [now](const json& in) {
                                                                 std::vector<upstream_limit> out;
                                                                 for (const auto& it : in.at(1)) {
                                                                     out.push_back(decode_limit(now, it));
                                                                 }
                                                                 return out;
                                                             });
}

std::string encode_slot_release(const slot_release& value)
{
    return to_cbor_text({slot_release_kind, value.upstream.str(), value.refused});
}

std::optional<slot_release> decode_slot_release(std::string_view datagram)
{
    return decode_datagram_kind<slot_release>(datagram, slot_release_kind, slot_release_fields, [](const json& in) {
        return slot_release{upstream_id(in.at(1).get<std::string>()), in.at(2).get<bool>()};
    });
}

std::string encode_rate_request(instant now, const rate_request& value)
{
    return to_cbor_text({rate_request_kind, value.asker.str(), value.number, encode_limit(now, value.limit)});
}

std::optional<rate_request> decode_rate_request(instant now, std::string_view datagram)
{
    return decode_datagram_kind<rate_request>(datagram, rate_request_kind, rate_request_fields, [now](const json& in) {
        return rate_request{host_id(in.at(1).get<std::string>()), in.at(2).get<std::uint64_t>(),
                            decode_limit(now, in.at(3))};
    });
}

std::string encode_rate_response(const rate_response& value)
{
    return to_cbor_text({rate_response_kind, value.number, value.wait.count()});
}

std::optional<rate_response> decode_rate_response(std::string_view datagram)
{
    return decode_datagram_kind<rate_response>(datagram, rate_response_kind, rate_response_fields, [](const json& in) {
        const auto wait = std::clamp<std::int64_t>(in.at(2).get<std::int64_t>(), 0, max_wait_ms);
        return rate_response{in.at(1).get<std::uint64_t>(), milliseconds(wait)};
    });
}

} // namespace anvillead
