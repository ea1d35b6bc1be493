#include "transport/internal/http_session.h"

#include "core/log.h"
#include "transport/internal/socket_state.h"

namespace anvillead {

namespace {

// After an early response the rest of the request is read and discarded, within these limits: closing a socket with
// unread data resets the connection, and the client could lose the response. The time counts once it has all of that.
constexpr milliseconds max_linger_time{1000};
constexpr std::size_t max_linger_bytes = 16 * 1024 * 1024;
// Interval at which the delivery of a response is checked after that.
constexpr milliseconds delivery_check_period{100};
// Checks of a blocked write within the time that it may make no progress.
constexpr int checks_per_write_timeout = 4;

} // namespace

void http_session::linger()
{
    phase_ = phase::lingering;
    boost::system::error_code ec;
    socket_.shutdown(net::ip::tcp::socket::shutdown_send, ec);
    reader_.clear();
    linger_began_at_ = std::chrono::steady_clock::now();
    share_.wait_for_request(linger_began_at_);
    update_share();
    linger_bytes_left_ = max_linger_bytes;
    start_linger_timer(max_linger_time);
    discard_input();
}

void http_session::discard_input()
{
    socket_.async_read_some(reader_.prepare(),
                            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t count) {
                                if (self->phase_ != phase::lingering) {
                                    return;
                                }
                                if (!ec && count < self->linger_bytes_left_) {
                                    self->linger_bytes_left_ -= count;
                                    self->discard_input();
                                    return;
                                }
                                if (ec != net::error::eof || !self->state_->draining) {
                                    self->close();
                                    return;
                                }
                                // A client that only ends its own side may still read, and the process is about to end.
                                self->input_ended_ = true;
                                self->check_delivery();
                            });
}

void http_session::start_linger_timer(milliseconds delay)
{
    write_timer_.expires_after(delay);
    // Owns the session, which has no pending read once its client has ended its side.
    write_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->phase_ == phase::lingering) {
            self->check_delivery();
        }
    });
}

void http_session::check_delivery()
{
    if (input_ended_ && take_socket_error(socket_.native_handle())) {
        // No read is pending that would report it.
        close();
        return;
    }
    const auto stalled = delivery_stalled_for();
    const auto lingered = std::chrono::steady_clock::now() - linger_began_at_;
    const bool delivered = !stalled && (input_ended_ || lingered >= max_linger_time);
    if (delivered || (stalled && *stalled >= state_->limits.write_timeout)) {
        if (stalled) {
            state_->counters->add("http_write_timeouts_total");
            discard_unacknowledged_bytes();
        }
        close();
        return;
    }
    start_linger_timer(delivery_check_period);
}

std::optional<milliseconds> http_session::delivery_stalled_for()
{
    return delivery_.stalled_for(std::chrono::steady_clock::now(), unacknowledged_bytes(socket_.native_handle()),
                                 unsent_bytes());
}

void http_session::discard_unacknowledged_bytes()
{
    resets_on_close_ = true;
    boost::system::error_code ec;
    socket_.set_option(net::socket_base::linger(true, 0), ec);
}

void http_session::evict()
{
    state_->counters->add("http_connections_evicted_total");
    boost::system::error_code ec;
    const auto peer = socket_.remote_endpoint(ec).address().to_string();
    const bool unread = delivery_stalled_for().has_value();
    log(log_level::warning, log_event::connection_evicted,
        {{"peer", ec ? std::string() : peer},
         {"reason", unread                ? "its client does not read"
                    : reader_.has_begun() ? "incomplete request"
                                          : "idle"},
         {"bytes", std::to_string(held_bytes())}});
    share_.close();
    if (unread) {
        discard_unacknowledged_bytes();
    } else if (phase_ == phase::idle && reader_.has_begun()) {
        auto refusal = make_error(error_kind::overloaded, "the request did not arrive before others needed its room");
        refusal.retry_after = memory_retry_after;
        // Written without waiting, as far as the socket takes it: the room is needed now.
        phase_ = phase::handling;
        keep_alive_ = false;
        write_active_ = true;
        reply_error(*this, refusal);
        socket_.write_some(net::buffer(pending_), ec);
    }
    auto callback = std::exchange(on_closed_, nullptr);
    close();
    if (callback) {
        net::post(sequence_->strand, std::move(callback));
    }
}

void http_session::start_write_timer()
{
    // One wait covers many writes, to avoid setting a timer for each streamed token.
    if (std::exchange(write_timer_active_, true)) {
        return;
    }
    write_timer_.expires_after(state_->limits.write_timeout / checks_per_write_timeout);
    write_timer_.async_wait([weak_self = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak_self.lock();
        if (!self || ec || self->phase_ == phase::closed) {
            return;
        }
        self->write_timer_active_ = false;
        if (!self->write_active_) {
            return;
        }
        // The socket takes more only after a large part of its buffer has been read, so a blocked write alone does not
        // show that the client has stopped reading.
        const auto stalled = self->delivery_stalled_for();
        if (stalled && *stalled >= self->state_->limits.write_timeout) {
            self->state_->counters->add("http_write_timeouts_total");
            self->discard_unacknowledged_bytes();
            self->on_peer_disconnected();
            return;
        }
        self->start_write_timer();
    });
}

} // namespace anvillead
