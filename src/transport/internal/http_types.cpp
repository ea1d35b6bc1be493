#include "transport/http_types.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

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

std::string_view http_request::query(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest = pair.size() == rest.size() ? std::string_view() : rest.substr(pair.size() + 1);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) != name) {
            continue;
        }
        return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return {};
}

} // namespace anvillead
