#pragma once

#include <algorithm>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvillead {

/// Counters of the parsed part of a message head.
struct parsed_head
{
    std::size_t& bytes;
    std::size_t& lines;
};

/// Parses the buffered part of a message head and adds what was parsed to `parsed`. Returns `need_more` while the head
/// is incomplete and `header_limit` once it exceeds `limit` bytes. The limit built into Beast does not bound the whole
/// head: it applies only to unparsed bytes, and complete lines are parsed as they arrive.
template <typename Parser>
boost::system::error_code parse_head_part(Parser& parser, boost::beast::flat_buffer& buffer, parsed_head parsed,
                                          std::size_t limit)
{
    namespace http = boost::beast::http;
    boost::system::error_code ec = http::error::need_more;
    if (buffer.size() > 0) {
        const auto count = parser.put(buffer.data(), ec);
        const auto* text = static_cast<const char*>(buffer.data().data());
        parsed.lines += static_cast<std::size_t>(std::count(text, text + count, '\n'));
        parsed.bytes += count;
        buffer.consume(count);
    }
    const auto unparsed = parser.is_header_done() ? 0 : buffer.size();
    if ((!ec || ec == http::error::need_more) && parsed.bytes + unparsed > limit) {
        ec = http::error::header_limit;
    }
    return ec;
}

} // namespace anvillead
