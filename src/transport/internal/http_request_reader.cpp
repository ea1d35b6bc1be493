#include "transport/internal/http_request_reader.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr std::size_t small_read_bytes = 4096;
constexpr std::size_t large_read_bytes = 16 * 1024;
// Bounds the framing of a body, which is buffered until it can be parsed: the line of a chunk, or all trailers.
constexpr std::size_t max_unparsed_body_bytes = 64 * 1024;
static_assert(max_unparsed_body_bytes >= large_read_bytes);
// A body up to this size is allocated at once if its length is known.
constexpr std::size_t small_body_bytes = 16 * 1024;
// A parsed field has a node of its own, beside its text.
constexpr std::size_t field_bytes = 96;

} // namespace

http_request_reader::http_request_reader(const http_limits& limits)
    : limits_(limits), buffer_(limits.header_bytes + max_unparsed_body_bytes + large_read_bytes)
{}

beast::flat_buffer::mutable_buffers_type http_request_reader::prepare()
{
    return buffer_.prepare(body_bytes() >= small_body_bytes ? large_read_bytes : small_read_bytes);
}

void http_request_reader::begin()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    head_ = {};
}

boost::system::error_code http_request_reader::parse_head()
{
    return parse_head_part(*parser_, buffer_, head_, limits_.header_bytes);
}

std::size_t http_request_reader::body_growth() const
{
    const auto& body = parser_->get().body();
    const auto needed = body.size() + buffer_.size();
    if (parser_->is_done() || needed <= body.capacity()) {
        return 0;
    }
    auto out = std::max(needed, body.capacity() + body.capacity() / 2);
    if (const auto length = content_length()) {
        const auto whole = static_cast<std::size_t>(*length);
        out = whole <= small_body_bytes ? whole : std::min(out, whole);
    }
    return out > body.capacity() ? out : 0;
}

void http_request_reader::grow_body()
{
    if (const auto size = body_growth(); size > 0) {
        parser_->get().body().reserve(size);
    }
}

boost::system::error_code http_request_reader::parse_body()
{
    boost::system::error_code ec;
    parser_->eager(true);
    while (!parser_->is_done()) {
        ec = http::error::need_more;
        if (buffer_.size() == 0) {
            return ec;
        }
        const auto parsed = parser_->put(buffer_.data(), ec);
        buffer_.consume(parsed);
        if (ec == http::error::need_more && parsed == 0 && buffer_.size() >= max_unparsed_body_bytes) {
            ec = http::error::buffer_overflow;
        }
        if (ec && (ec != http::error::need_more || parsed == 0)) {
            return ec;
        }
    }
    return {};
}

std::optional<std::uint64_t> http_request_reader::content_length() const
{
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool http_request_reader::expects_more_than(std::size_t bytes) const
{
    const auto length = content_length();
    return length ? *length > body_bytes() + bytes : body_bytes() > bytes;
}

std::size_t http_request_reader::head_memory() const
{
    return head_.bytes + head_.lines * field_bytes;
}

std::size_t http_request_reader::held_bytes() const
{
    return buffer_.capacity() + (parser_ ? head_memory() + parser_->get().body().capacity() : 0);
}

http_request http_request_reader::request_head() const
{
    const auto& message = parser_->get();
    http_request out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const auto& it : message) {
        out.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    return out;
}

std::string http_request_reader::take_body()
{
    return std::move(parser_->get().body());
}

void http_request_reader::end_request()
{
    parser_.reset();
    if (buffer_.size() == 0) {
        buffer_.clear();
        buffer_.shrink_to_fit();
    }
}

void http_request_reader::clear()
{
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
}

} // namespace anvillead
