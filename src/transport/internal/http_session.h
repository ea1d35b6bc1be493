#pragma once

#include <array>
#include <atomic>
#include <optional>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/ihttp_server.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace http = boost::beast::http;
namespace beast = boost::beast;

/// Counters shared by a server and its sessions.
struct http_server_state
{
    http_limits limits;
    http_handler handler;
    metrics* counters = nullptr;
    std::atomic<std::size_t> connections{0};
    /// Connections over the limit that get an error answer before they are closed.
    std::atomic<std::size_t> refusals{0};
    std::atomic<std::size_t> exchanges{0};
    std::atomic<bool> accepting{true};
    std::atomic<bool> draining{false};
};

/// One connection of a caller: reads a request, hands it to the handler, writes the answer, repeats.
/// Everything runs on one strand; no member is touched elsewhere.
class http_session : public ihttp_exchange, public std::enable_shared_from_this<http_session>
{
public:
    /// `occupancy` is the counter of the state that this connection holds one place of; released when it closes.
    http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                 std::shared_ptr<http_server_state> state, std::atomic<std::size_t>& occupancy);
    ~http_session() override;
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();
    /// Answers with `reason` without reading a request, then closes.
    void refuse(const error& reason);

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
        ending,
        lingering,
        closed
    };

    /// How the end of an answer's body is marked.
    enum class framing
    {
        chunked,
        /// Content-Length, or no body at all.
        sized,
        until_close
    };

    void await_request();
    void read_head();
    void parse_head();
    void head_read(const boost::system::error_code& ec);
    void read_body();
    void body_read(const boost::system::error_code& ec);
    void reject(const boost::system::error_code& ec);
    void handle(http_request request);
    void watch_peer();
    void put_head(int status, const http_headers& headers);
    void flush();
    void flushed(const boost::system::error_code& ec, std::size_t count);
    void finish_exchange();
    void linger();
    void peer_gone();
    void close();
    void arm_read_timer(milliseconds timeout);
    void stop_read_timer();
    void arm_write_timer();

    net::ip::tcp::socket socket_;
    net::steady_timer read_timer_;
    net::steady_timer write_timer_;
    std::shared_ptr<asio_sequence> sequence_;
    std::shared_ptr<http_server_state> state_;
    std::atomic<std::size_t>& occupancy_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    /// Bytes of the current request's head that have been parsed.
    std::size_t head_bytes_ = 0;
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    std::string pending_;
    std::string writing_;
    std::size_t written_ = 0;
    std::size_t linger_left_ = 0;
    instant write_progress_{};
    phase phase_ = phase::idle;
    framing framing_ = framing::chunked;
    bool write_active_ = false;
    bool write_timer_armed_ = false;
    bool read_timed_out_ = false;
    bool keep_alive_ = true;
    bool linger_after_ = false;
    bool old_version_ = false;
    /// The answer carries no body: a HEAD request, or a status without one.
    bool bodiless_ = false;
    bool head_request_ = false;
    bool in_exchange_ = false;
    std::uint64_t read_round_ = 0;
    std::uint64_t exchange_number_ = 0;
};

} // namespace anvillead
