#include "transport/http_types.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

#include "core/percent_encoding.h"

namespace anvillead {

std::string_view find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (boost::beast::iequals({key.data(), key.size()}, {name.data(), name.size()})) {
            return value;
        }
    }
    return {};
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string http_request::query(std::string_view name) const
{
    const auto query_start = target.find('?');
    if (query_start == std::string::npos) {
        return {};
    }
    std::string_view remaining = std::string_view(target).substr(query_start + 1);
    while (!remaining.empty()) {
        const auto pair = remaining.substr(0, remaining.find('&'));
        remaining = pair.size() == remaining.size() ? std::string_view() : remaining.substr(pair.size() + 1);
        const auto equals_sign = pair.find('=');
        if (decode_query_part(pair.substr(0, equals_sign)) != name) {
            continue;
        }
        const auto value = equals_sign == std::string_view::npos ? std::string_view() : pair.substr(equals_sign + 1);
        return decode_query_part(value).value_or(std::string());
    }
    return {};
}

} // namespace anvillead
