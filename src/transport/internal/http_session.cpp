#include "transport/internal/http_session.h"

#include <fmt/format.h>

#include "transport/internal/http_head.h"

namespace anvillead {

namespace {

// After an early response the rest of the request is read and discarded, within these limits: closing a socket with
// unread data resets the connection, and the client could lose the response.
constexpr milliseconds max_linger_time{1000};
constexpr std::size_t max_linger_bytes = 16 * 1024 * 1024;
constexpr std::size_t linger_read_bytes = 16 * 1024;
constexpr std::size_t head_read_bytes = 4096;
// About the time of a call, after which its body's memory is free.
constexpr milliseconds body_retry_after{1000};
// Bounds the framing of a body, which is buffered until it can be parsed: the line of a chunk, or all trailers.
constexpr std::size_t max_unparsed_body_bytes = 64 * 1024;
static_assert(max_unparsed_body_bytes >= head_read_bytes && max_unparsed_body_bytes >= linger_read_bytes);

constexpr int http_no_content = 204;
constexpr int http_not_modified = 304;
constexpr unsigned http_1_0 = 10;

http_headers copy_headers(const http::fields& fields)
{
    http_headers out;
    for (const auto& it : fields) {
        out.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    return out;
}

/// Whether it is certain where the body of a request ends (RFC 9112, section 6). The parser takes a request whose
/// transfer codings it does not know for one without a body.
bool has_certain_end(const http::request<http::string_body>& head)
{
    const auto codings = head.count(http::field::transfer_encoding);
    if (codings == 0) {
        // A repeated length is refused, also where the repetitions are equal.
        return head.count(http::field::content_length) <= 1 &&
               head[http::field::content_length].find(',') == beast::string_view::npos;
    }
    return codings == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked") &&
           head.count(http::field::content_length) == 0 && head.version() > http_1_0;
}

bool is_parse_error(const boost::system::error_code& ec)
{
    return ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

} // namespace

http_session::http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                           std::shared_ptr<http_server_state> state, std::atomic<std::size_t>& connection_count)
    : socket_(std::move(socket)), read_timer_(sequence->strand), write_timer_(sequence->strand),
      sequence_(std::move(sequence)), state_(std::move(state)), connection_count_(connection_count),
      buffer_(state_->limits.header_bytes + max_unparsed_body_bytes), body_share_(state_->body_budget)
{
    ++connection_count_;
    ++state_->arrivals;
}

http_session::~http_session()
{
    if (phase_ != phase::closed) {
        --connection_count_;
    }
    if (in_exchange_) {
        --state_->exchanges;
    }
    set_busy(false);
}

void http_session::start()
{
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(net::ip::tcp::no_delay(true), ec);
    socket_.set_option(net::socket_base::send_buffer_size(static_cast<int>(state_->limits.send_buffer_bytes)), ec);
    read_head();
}

void http_session::set_busy(bool value)
{
    if (std::exchange(busy_, value) == value) {
        return;
    }
    if (value) {
        ++state_->arrivals;
        ++state_->busy_connections;
    } else {
        --state_->busy_connections;
    }
}

void http_session::reply_error_and_close(const error& reason)
{
    set_busy(true);
    keep_alive_ = false;
    linger_on_close_ = true;
    phase_ = phase::handling;
    in_exchange_ = true;
    ++state_->exchanges;
    reply_error(*this, reason);
}

void http_session::wait_for_request()
{
    phase_ = phase::idle;
    if (buffer_.size() > 0) {
        read_head();
        return;
    }
    set_busy(false);
    // The idle time is limited by keep_alive; the shorter limit for the head applies from its first byte on.
    start_read_timer(state_->limits.keep_alive);
    socket_.async_read_some(buffer_.prepare(head_read_bytes),
                            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t count) {
                                self->stop_read_timer();
                                if (ec) {
                                    self->close();
                                    return;
                                }
                                self->buffer_.commit(count);
                                self->set_busy(true);
                                self->read_head();
                            });
}

void http_session::read_head()
{
    phase_ = phase::idle;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(state_->limits.header_bytes));
    parser_->body_limit(state_->limits.body_bytes);
    head_bytes_ = 0;
    start_read_timer(state_->limits.request_timeout);
    parse_head();
}

void http_session::parse_head()
{
    const auto ec = parse_head_part(*parser_, buffer_, head_bytes_, state_->limits.header_bytes);
    if (ec != http::error::need_more) {
        on_head_read(ec);
        return;
    }
    socket_.async_read_some(buffer_.prepare(head_read_bytes),
                            [self = shared_from_this()](const boost::system::error_code& read_ec, std::size_t count) {
                                if (read_ec) {
                                    self->on_head_read(read_ec);
                                    return;
                                }
                                self->buffer_.commit(count);
                                self->set_busy(true);
                                self->parse_head();
                            });
}

void http_session::on_head_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    if (!has_certain_end(parser_->get())) {
        state_->counters->add("http_rejected_total");
        reply_error_and_close(make_error(error_kind::invalid_request, "the end of the request body is not certain"));
        return;
    }
    if (const auto length = parser_->content_length(); length && !reserve_body(static_cast<std::size_t>(*length))) {
        return;
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        start_read_timer(state_->limits.request_timeout);
        net::async_write(socket_, net::buffer(continue_response),
                         [self = shared_from_this()](const boost::system::error_code& write_ec, std::size_t) {
                             self->stop_read_timer();
                             if (write_ec) {
                                 self->close();
                                 return;
                             }
                             self->read_body();
                         });
        return;
    }
    read_body();
}

void http_session::read_body()
{
    start_read_timer(state_->limits.request_timeout);
    if (parser_->is_done()) {
        net::post(socket_.get_executor(), [self = shared_from_this()] { self->on_body_read({}); });
        return;
    }
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) { self->on_body_part(ec); });
}

void http_session::on_body_part(const boost::system::error_code& ec)
{
    if (ec || parser_->is_done()) {
        on_body_read(ec);
        return;
    }
    // A body in chunks does not say how large it becomes.
    if (!reserve_body(parser_->get().body().size())) {
        return;
    }
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const boost::system::error_code& read_ec, std::size_t) {
                              self->on_body_part(read_ec);
                          });
}

bool http_session::reserve_body(std::size_t size)
{
    if (body_share_.grow_to(size)) {
        return true;
    }
    stop_read_timer();
    state_->counters->add("http_bodies_refused_total");
    auto refusal = make_error(error_kind::overloaded, "the large request bodies of others take the memory for bodies");
    refusal.retry_after = body_retry_after;
    reply_error_and_close(refusal);
    return false;
}

void http_session::on_body_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    is_http_1_0_ = message.version() <= http_1_0;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copy_headers(message);
    request.body = std::move(message.body());
    if (message.method() == http::verb::trace && !request.body.empty()) {
        // RFC 9110, section 9.3.8. It could not be passed on either.
        state_->counters->add("http_rejected_total");
        reply_error_and_close(make_error(error_kind::invalid_request, "a TRACE request has no body"));
        return;
    }
    boost::system::error_code address_ec;
    request.peer_address = socket_.remote_endpoint(address_ec).address().to_string();
    is_head_request_ = request.method == "HEAD";
    phase_ = phase::handling;
    in_exchange_ = true;
    ++exchange_number_;
    ++state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    watch_for_disconnect();
    call_handler(std::move(request));
}

void http_session::call_handler(http_request request)
{
    try {
        state_->handler(std::move(request), shared_from_this());
    } catch (const std::exception&) {
        // A defect in the handler must not terminate the process and with it all other requests.
        state_->counters->add("http_handler_failures_total");
        if (phase_ == phase::handling) {
            reply_error(*this, make_error(error_kind::internal, "the request could not be handled"));
        } else {
            abort();
        }
    }
}

void http_session::reject(const boost::system::error_code& ec)
{
    std::optional<error> rejection;
    if (read_timed_out_ && (buffer_.size() > 0 || (parser_ && parser_->got_some()))) {
        rejection = make_error(error_kind::request_timeout, "the request did not arrive in time");
    } else if (ec == http::error::header_limit) {
        rejection = make_error(error_kind::headers_too_large, "the request head exceeds the size limit");
    } else if (ec == http::error::body_limit) {
        rejection = make_error(error_kind::body_too_large, "the request body exceeds the size limit");
    } else if (ec == http::error::buffer_overflow) {
        rejection = make_error(error_kind::invalid_request, "the framing of the request body exceeds the size limit");
    } else if (is_parse_error(ec)) {
        rejection = make_error(error_kind::invalid_request, "the request is not valid HTTP/1.1: " + ec.message());
    }
    if (!rejection || !socket_.is_open()) {
        close();
        return;
    }
    state_->counters->add("http_rejected_total");
    reply_error_and_close(*rejection);
}

void http_session::watch_for_disconnect()
{
    // A readable socket without data was closed by the peer. Pipelined data is left for the next request.
    socket_.async_wait(net::ip::tcp::socket::wait_read, [self = shared_from_this(),
                                                         n = exchange_number_](const boost::system::error_code& ec) {
        if (ec || n != self->exchange_number_ || !self->in_exchange_) {
            return;
        }
        // The notification may be stale, for data that was read before the wait began, so the socket is checked.
        char byte = 0;
        boost::system::error_code peek_ec;
        const auto count = self->socket_.receive(net::buffer(&byte, 1), net::socket_base::message_peek, peek_ec);
        if (peek_ec == net::error::would_block || peek_ec == net::error::try_again) {
            self->watch_for_disconnect();
        } else if (peek_ec || count == 0) {
            self->on_peer_disconnected();
        }
    });
}

void http_session::append_head(int status, const http_headers& headers)
{
    if (keep_alive_ && (!state_->accepting || state_->draining)) {
        // The client does not expect the close, so bytes of its next request may be on their way. They would reset a
        // connection that is closed at once, and the client could lose the response.
        keep_alive_ = false;
        linger_on_close_ = true;
    }
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    pending_ += fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const auto& [key, value] : headers) {
        pending_ += fmt::format("{}: {}\r\n", key, value);
    }
    omit_body_ = is_head_request_ || status == http_no_content || status == http_not_modified;
    if (omit_body_ || !find_header(headers, "Content-Length").empty()) {
        framing_ = framing::content_length;
    } else if (is_http_1_0_) {
        framing_ = framing::until_close;
        keep_alive_ = false;
    } else {
        framing_ = framing::chunked;
        pending_ += "Transfer-Encoding: chunked\r\n";
    }
    if (!keep_alive_) {
        pending_ += "Connection: close\r\n";
    } else if (is_http_1_0_) {
        pending_ += "Connection: keep-alive\r\n";
    }
    pending_ += "\r\n";
}

void http_session::reply(int status, http_headers headers, std::string body)
{
    if (phase_ != phase::handling) {
        return;
    }
    if (status != http_no_content && status != http_not_modified) {
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    }
    append_head(status, headers);
    if (!omit_body_) {
        pending_ += body;
    }
    phase_ = phase::finishing;
    flush();
}

void http_session::begin_stream(int status, http_headers headers)
{
    if (phase_ != phase::handling) {
        return;
    }
    append_head(status, headers);
    phase_ = phase::streaming;
    flush();
}

void http_session::write(std::string_view data)
{
    if (phase_ != phase::streaming || data.empty() || omit_body_) {
        return;
    }
    if (framing_ == framing::chunked) {
        fmt::format_to(std::back_inserter(pending_), "{:x}\r\n", data.size());
        pending_ += data;
        pending_ += "\r\n";
    } else {
        pending_ += data;
    }
    flush();
}

void http_session::end_stream()
{
    if (phase_ != phase::streaming) {
        return;
    }
    if (framing_ == framing::chunked) {
        pending_ += "0\r\n\r\n";
    }
    phase_ = phase::finishing;
    flush();
}

void http_session::flush()
{
    if (write_active_ || phase_ == phase::closed) {
        return;
    }
    if (written_ == writing_.size()) {
        writing_.clear();
        written_ = 0;
        writing_.swap(pending_);
    }
    if (writing_.empty()) {
        if (phase_ == phase::finishing) {
            finish_exchange();
        }
        return;
    }
    write_active_ = true;
    write_started_at_ = std::chrono::steady_clock::now();
    start_write_timer();
    // Single partial writes instead of a composed one: the timeout then applies to each of them, so that a slow client
    // that keeps reading is not disconnected, however large the response is.
    socket_.async_write_some(net::buffer(writing_.data() + written_, writing_.size() - written_),
                             [self = shared_from_this()](const boost::system::error_code& ec, std::size_t count) {
                                 self->on_written(ec, count);
                             });
}

void http_session::on_written(const boost::system::error_code& ec, std::size_t count)
{
    write_active_ = false;
    if (phase_ == phase::closed) {
        return;
    }
    if (ec) {
        on_peer_disconnected();
        return;
    }
    written_ += count;
    if (unsent_bytes() == 0 && phase_ == phase::streaming && on_drained_) {
        const auto callback = on_drained_;
        callback();
    }
    flush();
}

void http_session::finish_exchange()
{
    in_exchange_ = false;
    body_share_.release();
    --state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    if (linger_on_close_) {
        linger();
        return;
    }
    if (!keep_alive_ || !state_->accepting) {
        close();
        return;
    }
    wait_for_request();
}

void http_session::linger()
{
    phase_ = phase::lingering;
    boost::system::error_code ec;
    socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
    buffer_.clear();
    linger_bytes_left_ = max_linger_bytes;
    start_read_timer(max_linger_time);
    struct discard_reader
    {
        std::shared_ptr<http_session> self;

        void operator()(const boost::system::error_code& read_ec, std::size_t count) const
        {
            if (read_ec || count >= self->linger_bytes_left_) {
                self->close();
                return;
            }
            self->linger_bytes_left_ -= count;
            next();
        }

        void next() const { self->socket_.async_read_some(self->buffer_.prepare(linger_read_bytes), *this); }
    };
    discard_reader{shared_from_this()}.next();
}

void http_session::on_peer_disconnected()
{
    if (phase_ == phase::closed) {
        return;
    }
    close();
    if (auto callback = std::exchange(on_closed_, nullptr)) {
        callback();
    }
}

void http_session::abort()
{
    on_closed_ = nullptr;
    close();
}

void http_session::close()
{
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    --connection_count_;
    set_busy(false);
    body_share_.release();
    pending_.clear();
    on_drained_ = nullptr;
    stop_read_timer();
    write_timer_.cancel();
    if (std::exchange(in_exchange_, false)) {
        --state_->exchanges;
    }
    boost::system::error_code ec;
    socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
    socket_.close(ec);
}

void http_session::start_read_timer(milliseconds timeout)
{
    read_timed_out_ = false;
    read_timer_.expires_after(timeout);
    read_timer_.async_wait([self = shared_from_this(), n = ++read_wait_number_](const boost::system::error_code& ec) {
        if (!ec && n == self->read_wait_number_ && self->phase_ != phase::closed) {
            self->read_timed_out_ = true;
            boost::system::error_code cancel_ec;
            self->socket_.cancel(cancel_ec);
        }
    });
}

void http_session::stop_read_timer()
{
    ++read_wait_number_;
    read_timer_.cancel();
}

void http_session::start_write_timer()
{
    // One wait covers many writes, to avoid setting a timer for each streamed token.
    if (std::exchange(write_timer_active_, true)) {
        return;
    }
    write_timer_.expires_at(write_started_at_ + state_->limits.write_timeout);
    write_timer_.async_wait([weak_self = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak_self.lock();
        if (!self || ec || self->phase_ == phase::closed) {
            return;
        }
        self->write_timer_active_ = false;
        if (!self->write_active_) {
            return;
        }
        if (std::chrono::steady_clock::now() - self->write_started_at_ >= self->state_->limits.write_timeout) {
            self->state_->counters->add("http_write_timeouts_total");
            self->on_peer_disconnected();
            return;
        }
        self->start_write_timer();
    });
}

} // namespace anvillead
