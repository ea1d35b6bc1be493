#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/http_types.h"

namespace anvillead {

/// What has been parsed of a message head.
struct parsed_head
{
    std::size_t bytes = 0;
    std::size_t lines = 0;
    /// Which field or line is not valid, and why; empty while there is none.
    std::string problem = {};
};

/// Whether an error of the parser means that the bytes of the peer are no valid HTTP, rather than that they ended.
bool is_protocol_error(const boost::system::error_code& ec);

/// Describes the first line of a rejected part of a head: its field and the first byte that is not allowed.
std::string describe_invalid_line(std::string_view text, bool is_start_line);

/// Returns which part of a request would not be read as it was meant, or an empty string: a byte that is not allowed in
/// the target or a field could end it and begin another field or request.
std::string find_invalid_part(const std::string& target, const http_headers& headers);

/// Returns what is wrong with a line that continues the one before it (RFC 9112, section 5.2), or an empty string if no
/// line of these complete ones does. The parser would join it to the value before it.
std::string find_continued_line(std::string_view lines);

/// Returns the field that leaves open where the body of a message ends (RFC 9112, section 6), or an empty string. The
/// parser takes a message whose transfer codings it does not know for one without framing.
template <bool IsRequest, typename Fields>
std::string find_uncertain_framing(const boost::beast::http::header<IsRequest, Fields>& head)
{
    namespace http = boost::beast::http;
    constexpr unsigned http_1_0 = 10;
    const auto codings = head.count(http::field::transfer_encoding);
    const auto lengths = head.count(http::field::content_length);
    // A repeated length is refused, also where the repetitions are equal.
    if (lengths > 1 || head[http::field::content_length].find(',') != boost::beast::string_view::npos) {
        return "field Content-Length is repeated";
    }
    if (codings == 0) {
        return {};
    }
    const bool known = codings == 1 && boost::beast::iequals(head[http::field::transfer_encoding], "chunked") &&
                       head.version() > http_1_0;
    if (!known) {
        return "field Transfer-Encoding does not name chunked alone";
    }
    return lengths == 0 ? std::string() : "fields Transfer-Encoding and Content-Length exclude each other";
}

/// Returns what is wrong with the status of a response head; requests have none.
template <typename Fields>
std::string find_invalid_status(const boost::beast::http::header<false, Fields>& head)
{
    constexpr unsigned lowest = 100;
    constexpr unsigned highest = 599;
    const auto status = head.result_int();
    return status >= lowest && status <= highest ? std::string() : "status " + std::to_string(status);
}

template <typename Fields>
std::string find_invalid_status(const boost::beast::http::header<true, Fields>& /*head*/)
{
    return {};
}

/// Parses the buffered part of a message head and adds what was parsed to `parsed`. Returns `need_more` while the head
/// is incomplete, `header_limit` once it exceeds `limit` bytes, and another error if it is not valid; `parsed.problem`
/// then says why. The limit built into Beast does not bound the whole head: it applies only to unparsed bytes, and
/// complete lines are parsed as they arrive.
template <typename Parser>
boost::system::error_code parse_head_part(Parser& parser, boost::beast::flat_buffer& buffer, parsed_head& parsed,
                                          std::size_t limit)
{
    namespace http = boost::beast::http;
    boost::system::error_code ec = http::error::need_more;
    if (buffer.size() > 0) {
        const std::string_view text(static_cast<const char*>(buffer.data().data()), buffer.size());
        const auto count = parser.put(buffer.data(), ec);
        if (is_protocol_error(ec) && ec != http::error::header_limit) {
            parsed.problem = describe_invalid_line(text.substr(count), parsed.bytes + count == 0);
        } else if (auto continued = find_continued_line(text.substr(0, count)); !continued.empty()) {
            parsed.problem = std::move(continued);
            ec = http::error::bad_obs_fold;
        }
        parsed.lines += static_cast<std::size_t>(std::count(text.begin(), text.begin() + count, '\n'));
        parsed.bytes += count;
        buffer.consume(count);
    }
    const auto unparsed = parser.is_header_done() ? 0 : buffer.size();
    if ((!ec || ec == http::error::need_more) && parsed.bytes + unparsed > limit) {
        ec = http::error::header_limit;
    }
    if (!ec && parser.is_header_done()) {
        if (parsed.problem = find_invalid_status(parser.get().base()); !parsed.problem.empty()) {
            ec = http::error::bad_status;
        } else if (parsed.problem = find_uncertain_framing(parser.get().base()); !parsed.problem.empty()) {
            ec = http::error::bad_transfer_encoding;
        }
    }
    return ec;
}

} // namespace anvillead
