#pragma once

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
    std::atomic<std::size_t> exchanges{0};
    std::atomic<bool> accepting{true};
};

/// One connection of a caller: reads a request, hands it to the handler, writes the answer, repeats.
/// Everything runs on one strand; no member is touched elsewhere.
class http_session : public ihttp_exchange, public std::enable_shared_from_this<http_session>
{
public:
    http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                 std::shared_ptr<http_server_state> state);
    ~http_session() override;
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();

    std::shared_ptr<isequence> sequence() override { return sequence_; }
    void reply(int status, http_headers headers, std::string body) override;
    void begin_stream(int status, http_headers headers) override;
    void write(std::string_view data) override;
    void end_stream() override;
    void abort() override;
    std::size_t unsent_bytes() const override { return pending_.size() + writing_.size(); }
    void on_closed(std::function<void()> callback) override { on_closed_ = std::move(callback); }
    void on_drained(std::function<void()> callback) override { on_drained_ = std::move(callback); }

private:
    enum class phase
    {
        idle,
        handling,
        streaming,
        ending,
        closed
    };

    void read_head();
    void head_read(const boost::system::error_code& ec);
    void read_body();
    void body_read(const boost::system::error_code& ec);
    void reject(const boost::system::error_code& ec);
    void watch_peer();
    void flush();
    void flushed(const boost::system::error_code& ec);
    void finish_exchange();
    void peer_gone();
    void close();

    beast::tcp_stream stream_;
    std::shared_ptr<asio_sequence> sequence_;
    std::shared_ptr<http_server_state> state_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::string_body>> response_;
    std::optional<http::response<http::empty_body>> stream_head_;
    std::optional<http::response_serializer<http::empty_body>> stream_serializer_;
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    std::string pending_;
    std::string writing_;
    phase phase_ = phase::idle;
    bool write_active_ = false;
    bool keep_alive_ = true;
    bool in_exchange_ = false;
    std::uint64_t exchange_number_ = 0;
};

} // namespace anvillead
