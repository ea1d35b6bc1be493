#include "transport/internal/http_session.h"

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr int http_no_content = 204;
constexpr int http_not_modified = 304;
constexpr unsigned http_1_0 = 10;

/// Empties the string and frees its memory, which an assignment would keep.
void free_string(std::string& value)
{
    std::string().swap(value);
}

} // namespace

http_session::http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                           std::shared_ptr<http_server_state> state, std::atomic<std::size_t>& connection_count)
    : socket_(std::move(socket)), read_timer_(sequence->strand), write_timer_(sequence->strand),
      sequence_(std::move(sequence)), state_(std::move(state)), connection_count_(connection_count),
      reader_(state_->limits), share_(state_->budget, {[this] { evict(); }, [this] { return delivery_stalled_for(); }})
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

void http_session::take_share()
{
    share_.open();
}

void http_session::start()
{
    if (phase_ == phase::closed) {
        return;
    }
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    socket_.set_option(net::ip::tcp::no_delay(true), ec);
    socket_.set_option(net::socket_base::send_buffer_size(static_cast<int>(state_->limits.send_buffer_bytes)), ec);
    read_request();
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
    reply_and_close([&reason](ihttp_exchange& it) { reply_error(it, reason); });
}

void http_session::reply_and_close(const std::function<void(ihttp_exchange&)>& answer)
{
    set_busy(true);
    keep_alive_ = false;
    linger_on_close_ = true;
    reader_.clear();
    share_.stop_waiting();
    update_share();
    phase_ = phase::handling;
    in_exchange_ = true;
    ++state_->exchanges;
    answer(*this);
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
    if (phase_ == phase::closed || phase_ == phase::dropped) {
        return;
    }
    if (!update_share()) {
        drop_answer();
        return;
    }
    if (write_active_) {
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
    if (unsent_bytes() > large_answer_bytes && reserve_large_buffer(extra_send_bytes_)) {
        const auto size = static_cast<int>(state_->limits.large_socket_buffer_bytes);
        boost::system::error_code ec;
        socket_.set_option(net::socket_base::send_buffer_size(size), ec);
    }
    write_active_ = true;
    write_started_at_ = std::chrono::steady_clock::now();
    share_.wait_for_reader(write_started_at_);
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
    if (phase_ == phase::closed || phase_ == phase::dropped) {
        return;
    }
    if (ec) {
        on_peer_disconnected();
        return;
    }
    written_ += count;
    delivery_.add_written(count);
    share_.stop_waiting();
    if (unsent_bytes() == 0 && phase_ == phase::streaming && on_drained_) {
        const auto callback = on_drained_;
        callback();
    }
    flush();
}

void http_session::drop_answer()
{
    state_->counters->add("http_answers_dropped_total");
    phase_ = phase::dropped;
    free_string(pending_);
    if (!write_active_) {
        free_string(writing_);
        written_ = 0;
    }
    // Posted, because the caller of this function is not prepared for the end of its exchange.
    net::post(sequence_->strand, [self = shared_from_this()] {
        self->discard_unacknowledged_bytes();
        self->on_peer_disconnected();
    });
}

std::size_t http_session::held_bytes() const
{
    return reader_.held_bytes() + pending_.capacity() + writing_.capacity() + extra_receive_bytes_ + extra_send_bytes_;
}

bool http_session::update_share()
{
    return share_.set_bytes(held_bytes());
}

bool http_session::reserve_large_buffer(std::size_t& extra_bytes)
{
    // The kernel doubles the size.
    const auto size = 2 * state_->limits.large_socket_buffer_bytes;
    if (size == 0 || extra_bytes > 0 || !share_.set_bytes(held_bytes() + size)) {
        return false;
    }
    extra_bytes = size;
    return true;
}

void http_session::widen_receive_buffer()
{
    if (reserve_large_buffer(extra_receive_bytes_)) {
        // Without the larger buffer the body arrives more slowly.
        boost::system::error_code ec;
        socket_.set_option(
            net::socket_base::receive_buffer_size(static_cast<int>(state_->limits.large_socket_buffer_bytes)), ec);
    }
}

void http_session::restore_receive_buffer()
{
    if (std::exchange(extra_receive_bytes_, 0) > 0) {
        boost::system::error_code ec;
        socket_.set_option(net::socket_base::receive_buffer_size(static_cast<int>(state_->limits.receive_buffer_bytes)),
                           ec);
    }
}

void http_session::finish_exchange()
{
    in_exchange_ = false;
    restore_receive_buffer();
    free_string(pending_);
    free_string(writing_);
    written_ = 0;
    --state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    if (linger_on_close_ || (!keep_alive_ && (extra_send_bytes_ > 0 || state_->draining))) {
        linger();
        return;
    }
    if (!keep_alive_ || !state_->accepting) {
        close();
        return;
    }
    wait_for_request();
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
    const bool answer_is_cut =
        phase_ == phase::streaming || phase_ == phase::dropped || (phase_ == phase::finishing && unsent_bytes() > 0);
    if (answer_is_cut && framing_ == framing::until_close) {
        // An orderly end of the connection would be the end of the answer.
        discard_unacknowledged_bytes();
    }
    phase_ = phase::closed;
    --connection_count_;
    set_busy(false);
    // Pending operations own the session for a while, but use no buffer after the socket is closed.
    on_drained_ = nullptr;
    stop_read_timer();
    write_timer_.cancel();
    if (std::exchange(in_exchange_, false)) {
        --state_->exchanges;
    }
    boost::system::error_code ec;
    if (!resets_on_close_) {
        socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
    }
    socket_.close(ec);
    reader_.clear();
    free_string(pending_);
    free_string(writing_);
    written_ = 0;
    share_.close();
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

} // namespace anvillead
