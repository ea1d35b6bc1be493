#pragma once

#include <array>
#include <atomic>
#include <optional>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/ihttp_server.h"
#include "transport/internal/delivery_progress.h"
#include "transport/internal/http_request_reader.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

/// Limits, handler and counters shared by a server and its sessions.
struct http_server_state
{
    http_limits limits;
    http_handler handler;
    http_head_check check_head;
    std::shared_ptr<client_budget> budget;
    client_usage request_usage;
    metrics* counters = nullptr;
    std::atomic<std::size_t> connections{0};
    /// Open connections over the limit, which get an error response and are closed.
    std::atomic<std::size_t> refused_connections{0};
    std::atomic<std::size_t> exchanges{0};
    std::atomic<std::size_t> busy_connections{0};
    std::atomic<std::uint64_t> arrivals{0};
    std::atomic<bool> accepting{true};
    std::atomic<bool> draining{false};
};

/// One client connection: repeatedly reads a request, passes it to the handler and writes the response.
/// All members are accessed on one strand only.
class http_session : public ihttp_exchange, public std::enable_shared_from_this<http_session>
{
public:
    /// `connection_count` is the counter in `state` that includes this connection until it closes.
    http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                 std::shared_ptr<http_server_state> state, std::atomic<std::size_t>& connection_count);
    ~http_session() override;
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Takes the connection's share of the budget, for which there must be room.
    void take_share();
    void start();
    /// Sends `reason` as the response without a complete request, then closes the connection.
    void reply_error_and_close(const error& reason);
    /// The same with what `answer` replies.
    void reply_and_close(const std::function<void(ihttp_exchange&)>& answer);

    std::shared_ptr<isequence> sequence() override { return sequence_; }
    void reply(int status, http_headers headers, std::string body) override;
    void begin_stream(int status, http_headers headers) override;
    void write(std::string_view data) override;
    void end_stream() override;
    void abort() override;
    std::size_t unsent_bytes() const override { return pending_.size() + writing_.size() - written_; }
    void on_closed(std::function<void()> callback) override { on_closed_ = std::move(callback); }
    void on_drained(std::function<void()> callback) override { on_drained_ = std::move(callback); }

private:
    enum class phase
    {
        idle,
        handling,
        streaming,
        finishing,
        /// The answer was given up for lack of memory; the connection is about to be closed.
        dropped,
        lingering,
        closed
    };

    /// How the end of a response body is determined.
    enum class framing
    {
        chunked,
        /// By Content-Length, or no body at all.
        content_length,
        until_close
    };

    /// After which the memory that a request lacks is usually free again.
    static constexpr milliseconds memory_retry_after{1000};
    /// An answer of more than this gets a larger socket buffer, if there is room for it.
    static constexpr std::size_t large_answer_bytes = 16 * 1024;

    void wait_for_request();
    /// Receives some bytes of a request, then calls `next`.
    void receive(std::function<void()> next);
    void read_request();
    void parse_head();
    /// Counts the connection as busy from the first byte of a request until it waits for the next one.
    void set_busy(bool value);
    void on_head_read(const boost::system::error_code& ec);
    /// Refuses a request whose head alone tells that it cannot be served; returns whether it did.
    bool refuse_early();
    void parse_body();
    void on_body_read(const boost::system::error_code& ec);
    /// Takes the memory of a larger socket buffer, unless `extra_bytes` shows that this was done; returns whether the
    /// buffer may grow.
    bool reserve_large_buffer(std::size_t& extra_bytes);
    void widen_receive_buffer();
    /// Gives the larger receive buffer back when a request and its answer are complete.
    void restore_receive_buffer();
    /// Memory that this connection holds, without the request that is handled.
    std::size_t held_bytes() const;
    /// Returns false if more is held than is available.
    bool update_share();
    void refuse_for_memory();
    /// Closes the connection, which waits for its client, in favour of others.
    void evict();
    void reject(const boost::system::error_code& ec);
    void call_handler(http_request request);
    void watch_for_disconnect();
    void append_head(int status, const http_headers& headers);
    void flush();
    void on_written(const boost::system::error_code& ec, std::size_t count);
    /// Frees an answer for which there is no memory, and closes the connection soon.
    void drop_answer();
    void finish_exchange();
    /// Waits until the client has the answer, for as long as it goes on reading, and discards what it still sends.
    void linger();
    void discard_input();
    void start_linger_timer(milliseconds delay);
    void check_delivery();
    void on_peer_disconnected();
    void close();
    /// For how long the client has read nothing of what it is sent; nothing if it has all.
    std::optional<milliseconds> delivery_stalled_for();
    /// Lets the connection end with a reset, for which the kernel discards what the client has not acknowledged instead
    /// of keeping it for minutes.
    void discard_unacknowledged_bytes();
    void start_read_timer(milliseconds timeout);
    void stop_read_timer();
    void start_write_timer();

    net::ip::tcp::socket socket_;
    net::steady_timer read_timer_;
    net::steady_timer write_timer_;
    std::shared_ptr<asio_sequence> sequence_;
    std::shared_ptr<http_server_state> state_;
    std::atomic<std::size_t>& connection_count_;
    http_request_reader reader_;
    connection_share share_;
    delivery_progress delivery_;
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    std::string pending_;
    std::string writing_;
    std::size_t written_ = 0;
    std::size_t linger_bytes_left_ = 0;
    /// What the kernel may hold beyond the usual size of the socket's buffers.
    std::size_t extra_receive_bytes_ = 0;
    std::size_t extra_send_bytes_ = 0;
    instant write_started_at_{};
    instant linger_began_at_{};
    phase phase_ = phase::idle;
    framing framing_ = framing::chunked;
    bool write_active_ = false;
    bool write_timer_active_ = false;
    bool read_timed_out_ = false;
    bool keep_alive_ = true;
    bool linger_on_close_ = false;
    bool resets_on_close_ = false;
    /// The client sends nothing more on this connection, which is about to be closed.
    bool input_ended_ = false;
    bool is_http_1_0_ = false;
    /// The response has no body, because of a HEAD request or the status code.
    bool omit_body_ = false;
    bool is_head_request_ = false;
    bool in_exchange_ = false;
    bool busy_ = false;
    bool head_checked_ = false;
    std::uint64_t read_wait_number_ = 0;
    std::uint64_t exchange_number_ = 0;
};

} // namespace anvillead
