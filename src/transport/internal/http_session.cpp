#include "transport/internal/http_session.h"

#include <fmt/format.h>

#include "transport/internal/http_head.h"

namespace anvillead {

namespace {

// After an early answer the rest of the request is read and dropped for this long and up to this size: closing a socket
// with unread data resets the connection, and the caller would lose the answer.
constexpr milliseconds linger_time{1000};
constexpr std::size_t linger_bytes = 16 * 1024 * 1024;
constexpr std::size_t linger_piece = 16 * 1024;
constexpr std::size_t read_piece_bytes = 4096;

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

bool is_parse_error(const boost::system::error_code& ec)
{
    return ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

} // namespace

http_session::http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                           std::shared_ptr<http_server_state> state, std::atomic<std::size_t>& occupancy)
    : socket_(std::move(socket)), read_timer_(sequence->strand), write_timer_(sequence->strand),
      sequence_(std::move(sequence)), state_(std::move(state)), occupancy_(occupancy)
{
    ++occupancy_;
}

http_session::~http_session()
{
    if (phase_ != phase::closed) {
        --occupancy_;
    }
    if (in_exchange_) {
        --state_->exchanges;
    }
}

void http_session::start()
{
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(net::ip::tcp::no_delay(true), ec);
    socket_.set_option(net::socket_base::send_buffer_size(static_cast<int>(state_->limits.send_buffer_bytes)), ec);
    read_head();
}

void http_session::refuse(const error& reason)
{
    keep_alive_ = false;
    linger_after_ = true;
    phase_ = phase::handling;
    in_exchange_ = true;
    ++state_->exchanges;
    reply_error(*this, reason);
}

void http_session::await_request()
{
    phase_ = phase::idle;
    if (buffer_.size() > 0) {
        read_head();
        return;
    }
    // Idle time is bounded by keep_alive; the head itself has its own, shorter bound from its first byte on.
    arm_read_timer(state_->limits.keep_alive);
    socket_.async_read_some(buffer_.prepare(read_piece_bytes),
                            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t count) {
                                self->stop_read_timer();
                                if (ec) {
                                    self->close();
                                    return;
                                }
                                self->buffer_.commit(count);
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
    arm_read_timer(state_->limits.request_timeout);
    parse_head();
}

void http_session::parse_head()
{
    const auto ec = parse_head_part(*parser_, buffer_, head_bytes_, state_->limits.header_bytes);
    if (ec != http::error::need_more) {
        head_read(ec);
        return;
    }
    socket_.async_read_some(buffer_.prepare(read_piece_bytes),
                            [self = shared_from_this()](const boost::system::error_code& read_ec, std::size_t count) {
                                if (read_ec) {
                                    self->head_read(read_ec);
                                    return;
                                }
                                self->buffer_.commit(count);
                                self->parse_head();
                            });
}

void http_session::head_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        arm_read_timer(state_->limits.request_timeout);
        net::async_write(socket_, net::buffer(proceed),
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
    arm_read_timer(state_->limits.request_timeout);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) { self->body_read(ec); });
}

void http_session::body_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    old_version_ = message.version() <= http_1_0;
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copy_headers(message);
    request.body = std::move(message.body());
    boost::system::error_code address_ec;
    request.peer_address = socket_.remote_endpoint(address_ec).address().to_string();
    head_request_ = request.method == "HEAD";
    phase_ = phase::handling;
    in_exchange_ = true;
    ++exchange_number_;
    ++state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    watch_peer();
    handle(std::move(request));
}

void http_session::handle(http_request request)
{
    try {
        state_->handler(std::move(request), shared_from_this());
    } catch (const std::exception&) {
        // A request that trips over a defect of the handler must not end the process and with it all other requests.
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
    std::optional<error> answer;
    if (read_timed_out_ && (buffer_.size() > 0 || (parser_ && parser_->got_some()))) {
        answer = make_error(error_kind::request_timeout, "the request did not arrive in time");
    } else if (ec == http::error::header_limit) {
        answer = make_error(error_kind::headers_too_large, "the request head exceeds the size limit");
    } else if (ec == http::error::body_limit) {
        answer = make_error(error_kind::body_too_large, "the request body exceeds the size limit");
    } else if (is_parse_error(ec)) {
        answer = make_error(error_kind::invalid_request, "the request is not valid HTTP/1.1: " + ec.message());
    }
    if (!answer || !socket_.is_open()) {
        close();
        return;
    }
    state_->counters->add("http_rejected_total");
    refuse(*answer);
}

void http_session::watch_peer()
{
    // A readable socket at its end means that the peer closed it; pipelined data is left for the next request.
    socket_.async_wait(net::ip::tcp::socket::wait_read, [self = shared_from_this(),
                                                         n = exchange_number_](const boost::system::error_code& ec) {
        if (ec || n != self->exchange_number_ || !self->in_exchange_) {
            return;
        }
        // The readiness may be that of data that was read before the wait began, so the socket itself is asked.
        char byte = 0;
        boost::system::error_code peek_ec;
        const auto count = self->socket_.receive(net::buffer(&byte, 1), net::socket_base::message_peek, peek_ec);
        if (peek_ec == net::error::would_block || peek_ec == net::error::try_again) {
            self->watch_peer();
        } else if (peek_ec || count == 0) {
            self->peer_gone();
        }
    });
}

void http_session::put_head(int status, const http_headers& headers)
{
    keep_alive_ = keep_alive_ && state_->accepting && !state_->draining;
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    pending_ += fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const auto& [key, value] : headers) {
        pending_ += fmt::format("{}: {}\r\n", key, value);
    }
    bodiless_ = head_request_ || status == http_no_content || status == http_not_modified;
    if (bodiless_ || !find_header(headers, "Content-Length").empty()) {
        framing_ = framing::sized;
    } else if (old_version_) {
        framing_ = framing::until_close;
        keep_alive_ = false;
    } else {
        framing_ = framing::chunked;
        pending_ += "Transfer-Encoding: chunked\r\n";
    }
    if (!keep_alive_) {
        pending_ += "Connection: close\r\n";
    } else if (old_version_) {
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
    put_head(status, headers);
    if (!bodiless_) {
        pending_ += body;
    }
    phase_ = phase::ending;
    flush();
}

void http_session::begin_stream(int status, http_headers headers)
{
    if (phase_ != phase::handling) {
        return;
    }
    put_head(status, headers);
    phase_ = phase::streaming;
    flush();
}

void http_session::write(std::string_view data)
{
    if (phase_ != phase::streaming || data.empty() || bodiless_) {
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
    phase_ = phase::ending;
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
        if (phase_ == phase::ending) {
            finish_exchange();
        }
        return;
    }
    write_active_ = true;
    write_progress_ = std::chrono::steady_clock::now();
    arm_write_timer();
    // Pieces rather than one composed write: the time bound applies to each piece of progress, so a slow caller that
    // keeps reading is not cut off however large the answer is.
    socket_.async_write_some(net::buffer(writing_.data() + written_, writing_.size() - written_),
                             [self = shared_from_this()](const boost::system::error_code& ec, std::size_t count) {
                                 self->flushed(ec, count);
                             });
}

void http_session::flushed(const boost::system::error_code& ec, std::size_t count)
{
    write_active_ = false;
    if (phase_ == phase::closed) {
        return;
    }
    if (ec) {
        peer_gone();
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
    --state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    if (linger_after_) {
        linger();
        return;
    }
    if (!keep_alive_ || !state_->accepting) {
        close();
        return;
    }
    await_request();
}

void http_session::linger()
{
    phase_ = phase::lingering;
    boost::system::error_code ec;
    socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
    buffer_.clear();
    linger_left_ = linger_bytes;
    arm_read_timer(linger_time);
    struct drain
    {
        std::shared_ptr<http_session> self;

        void operator()(const boost::system::error_code& read_ec, std::size_t count) const
        {
            if (read_ec || count >= self->linger_left_) {
                self->close();
                return;
            }
            self->linger_left_ -= count;
            next();
        }

        void next() const { self->socket_.async_read_some(self->buffer_.prepare(linger_piece), *this); }
    };
    drain{shared_from_this()}.next();
}

void http_session::peer_gone()
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
    --occupancy_;
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

void http_session::arm_read_timer(milliseconds timeout)
{
    read_timed_out_ = false;
    read_timer_.expires_after(timeout);
    read_timer_.async_wait([self = shared_from_this(), n = ++read_round_](const boost::system::error_code& ec) {
        if (!ec && n == self->read_round_ && self->phase_ != phase::closed) {
            self->read_timed_out_ = true;
            boost::system::error_code cancel_ec;
            self->socket_.cancel(cancel_ec);
        }
    });
}

void http_session::stop_read_timer()
{
    ++read_round_;
    read_timer_.cancel();
}

void http_session::arm_write_timer()
{
    // One wait covers many writes, so that a timer is not set for each token.
    if (std::exchange(write_timer_armed_, true)) {
        return;
    }
    write_timer_.expires_at(write_progress_ + state_->limits.write_timeout);
    write_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!self || ec || self->phase_ == phase::closed) {
            return;
        }
        self->write_timer_armed_ = false;
        if (!self->write_active_) {
            return;
        }
        if (std::chrono::steady_clock::now() - self->write_progress_ >= self->state_->limits.write_timeout) {
            self->state_->counters->add("http_write_timeouts_total");
            self->peer_gone();
            return;
        }
        self->arm_write_timer();
    });
}

} // namespace anvillead
