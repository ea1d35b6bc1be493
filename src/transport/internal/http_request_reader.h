#pragma once

#include <optional>
#include <string>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/http_types.h"
#include "transport/internal/http_head.h"

namespace anvillead {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// A message body in a string, of which no more is allocated than its reader is given room for.
struct bounded_string_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*header*/, value_type& body) : body_(body)
        {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& ec) { ec = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t out = 0;
            for (const auto it : beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(it.data()), it.size());
                out += it.size();
            }
            return out;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

/// Parses the requests of one connection, one after the other, and knows what they take in memory. No I/O.
class http_request_reader
{
public:
    using message_type = http::request<bounded_string_body>;

    explicit http_request_reader(const http_limits& limits);

    /// Where received bytes are to be written; commit() follows.
    beast::flat_buffer::mutable_buffers_type prepare();
    void commit(std::size_t count) { buffer_.commit(count); }
    /// Bytes have been received that are not parsed yet.
    bool has_input() const { return buffer_.size() > 0; }
    /// A part of the request has arrived.
    bool has_begun() const { return has_input() || (parser_ && parser_->got_some()); }

    /// Starts with the next request.
    void begin();
    /// Parses received bytes of the head: `need_more` while it is incomplete.
    boost::system::error_code parse_head();
    /// Which field or line of the head is not valid, and why.
    const std::string& head_problem() const { return head_.problem; }
    /// Bytes that must be allocated before the received part of the body can be parsed; 0 if there is room.
    std::size_t body_growth() const;
    /// Allocates them.
    void grow_body();
    /// Parses received bytes of the body: `need_more` while it is incomplete.
    boost::system::error_code parse_body();

    const message_type& message() const { return parser_->get(); }
    std::optional<std::uint64_t> content_length() const;
    bool body_done() const { return parser_->is_done(); }
    /// Whether more than `bytes` of the body are missing; if its length is unknown, whether as many have arrived.
    bool expects_more_than(std::size_t bytes) const;
    std::size_t body_bytes() const { return parser_ ? parser_->get().body().size() : 0; }
    /// What the head takes in memory at present.
    std::size_t head_memory() const;
    /// What the reader holds in memory.
    std::size_t held_bytes() const;

    /// The request without its body.
    http_request request_head() const;
    std::string take_body();
    /// Frees the request, and the memory for received bytes if there are none.
    void end_request();
    /// Frees all memory.
    void clear();

private:
    const http_limits& limits_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<bounded_string_body>> parser_;
    parsed_head head_;
};

} // namespace anvillead
