#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvillead {

/// Parses the buffered part of a message head and adds the number of parsed bytes to `head_bytes`. Returns `need_more`
/// while the head is incomplete and `header_limit` once it exceeds `limit` bytes. The limit built into Beast does not
/// bound the whole head: it applies only to unparsed bytes, and complete lines are parsed as they arrive.
template <typename Parser>
boost::system::error_code parse_head_part(Parser& parser, boost::beast::flat_buffer& buffer, std::size_t& head_bytes,
                                          std::size_t limit)
{
    namespace http = boost::beast::http;
    boost::system::error_code ec = http::error::need_more;
    if (buffer.size() > 0) {
        const auto parsed = parser.put(buffer.data(), ec);
        buffer.consume(parsed);
        head_bytes += parsed;
    }
    const auto unparsed = parser.is_header_done() ? 0 : buffer.size();
    if ((!ec || ec == http::error::need_more) && head_bytes + unparsed > limit) {
        ec = http::error::header_limit;
    }
    return ec;
}

} // namespace anvillead
