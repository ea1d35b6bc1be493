#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvillead {

/// Feeds what `buffer` holds to the parser of a message head and adds the parsed part to `head_bytes`. Returns
/// `need_more` while the head is incomplete and `header_limit` once it exceeds `limit` bytes. Beast's own limit applies
/// only to the part that is not parsed yet, and complete lines are parsed as they arrive.
template <typename Parser>
boost::system::error_code parse_head_part(Parser& parser, boost::beast::flat_buffer& buffer, std::size_t& head_bytes,
                                          std::size_t limit)
{
    namespace http = boost::beast::http;
    boost::system::error_code ec = http::error::need_more;
    if (buffer.size() > 0) {
        const auto used = parser.put(buffer.data(), ec);
        buffer.consume(used);
        head_bytes += used;
    }
    const auto unparsed = parser.is_header_done() ? 0 : buffer.size();
    if ((!ec || ec == http::error::need_more) && head_bytes + unparsed > limit) {
        ec = http::error::header_limit;
    }
    return ec;
}

} // namespace anvillead
