#include "transport/ihttp_client.h"

#include <array>
#include <deque>
#include <limits>
#include <map>
#include <optional>

#include <netinet/tcp.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "transport/internal/http_head.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace {

namespace http = boost::beast::http;
namespace beast = boost::beast;
using socket_ptr = std::unique_ptr<net::ip::tcp::socket>;

constexpr unsigned http_ok = 200;

/// Keep-alive probes each second, so that a connection that has gone silent ends after `timeout`.
void watch_for_dead_peer(net::ip::tcp::socket& socket, milliseconds timeout)
{
    if (timeout.count() == 0) {
        return;
    }
    using user_timeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using probe_idle = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probe_count = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    const int probes = std::max(1, static_cast<int>(timeout / seconds(1)) - 1);
    // A system that lacks one of these options still has the call's own timeouts.
    boost::system::error_code ec;
    socket.set_option(user_timeout(static_cast<int>(timeout.count())), ec);
    socket.set_option(net::socket_base::keep_alive(true), ec);
    socket.set_option(probe_idle(1), ec);
    socket.set_option(probe_interval(1), ec);
    socket.set_option(probe_count(probes), ec);
}

/// Idle connections that completed their last answer, by address.
class connection_cache
{
public:
    socket_ptr take(const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        if (idle.empty()) {
            return nullptr;
        }
        auto socket = std::move(idle.back());
        idle.pop_back();
        return socket;
    }

    void give(const std::string& address, socket_ptr socket)
    {
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        if (idle.size() < idle_per_address) {
            idle.push_back(std::move(socket));
        }
    }

private:
    static constexpr std::size_t idle_per_address = 16;

    ranked_mutex mutex_{lock_rank::transport};
    std::map<std::string, std::deque<socket_ptr>> idle_;
};

class http_call : public ihttp_call, public std::enable_shared_from_this<http_call>
{
public:
    http_call(net::io_context& context, std::shared_ptr<connection_cache> cache, std::shared_ptr<isequence> sequence,
              http_call_request request, http_call_handlers handlers)
        : context_(context), cache_(std::move(cache)), sequence_(std::static_pointer_cast<asio_sequence>(sequence)),
          request_(std::move(request)), handlers_(std::move(handlers)), timer_(context)
    {}

    void begin()
    {
        if (request_.reuse_connection) {
            socket_ = cache_->take(request_.address);
        }
        if (socket_) {
            reused_ = true;
            send();
            return;
        }
        connect();
    }

    void cancel() override
    {
        // Posted, because a handler that cancels its own call must not be destroyed while it runs.
        net::post(sequence_->strand, [self = shared_from_this()] { self->finish(http_end::cancelled, {}); });
    }

    void pause() override { paused_ = true; }

    void resume() override
    {
        if (!std::exchange(paused_, false)) {
            return;
        }
        if (std::exchange(read_held_, false)) {
            read_some();
        }
    }

private:
    template <typename Handler>
    auto bound(Handler handler)
    {
        return net::bind_executor(sequence_->strand, std::move(handler));
    }

    void arm(milliseconds timeout)
    {
        ++timer_round_;
        if (timeout.count() == 0) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(timeout);
        timer_.async_wait(bound([self = shared_from_this(), n = timer_round_](const boost::system::error_code& ec) {
            if (!ec && n == self->timer_round_) {
                self->finish(self->sent_ ? http_end::timeout : http_end::connect_failed, "timeout");
            }
        }));
    }

    void connect()
    {
        reused_ = false;
        ++attempt_;
        socket_ = std::make_unique<net::ip::tcp::socket>(context_);
        arm(request_.connect_timeout);
        socket_->async_connect(parse_endpoint(request_.address),
                               bound([self = shared_from_this(), n = attempt_](const boost::system::error_code& ec) {
                                   if (self->done_ || n != self->attempt_) {
                                       return;
                                   }
                                   if (ec) {
                                       self->refused_ = ec == net::error::connection_refused;
                                       self->finish(http_end::connect_failed, ec.message());
                                       return;
                                   }
                                   self->send();
                               }));
    }

    void send()
    {
        boost::system::error_code ec;
        socket_->set_option(net::ip::tcp::no_delay(true), ec);
        watch_for_dead_peer(*socket_, request_.dead_peer_timeout);
        message_ = {};
        message_.version(11);
        message_.method_string(request_.method);
        message_.target(request_.target);
        if (find_header(request_.headers, "Host").empty()) {
            message_.set(http::field::host, request_.address);
        }
        for (const auto& [key, value] : request_.headers) {
            message_.insert(key, value);
        }
        message_.body() = request_.body;
        message_.prepare_payload();
        sent_ = true;
        written_ = false;
        arm(request_.head_timeout);
        http::async_write(
            *socket_, message_,
            bound([self = shared_from_this(), n = attempt_](const boost::system::error_code& write_ec, std::size_t) {
                if (n == self->attempt_ && !write_ec) {
                    self->written_ = true;
                }
            }));
        // Read at once: a peer may answer before it has taken the whole body, and then read no further. A failed write
        // shows as a failed read, after whatever the peer has answered.
        await_head();
    }

    void await_head()
    {
        parser_.emplace();
        parser_->header_limit(head_bytes_limit);
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        // An answer to HEAD announces a body that does not follow.
        parser_->skip(request_.method == "HEAD");
        head_bytes_ = 0;
        parse_head();
    }

    void parse_head()
    {
        const auto ec = parse_head_part(*parser_, buffer_, head_bytes_, head_bytes_limit);
        if (ec != http::error::need_more) {
            head_read(ec);
            return;
        }
        socket_->async_read_some(buffer_.prepare(head_piece_bytes),
                                 bound([self = shared_from_this(),
                                        n = attempt_](const boost::system::error_code& read_ec, std::size_t count) {
                                     if (self->done_ || n != self->attempt_) {
                                         return;
                                     }
                                     if (read_ec) {
                                         self->head_read(read_ec);
                                         return;
                                     }
                                     self->buffer_.commit(count);
                                     self->parse_head();
                                 }));
    }

    /// A reused connection that the peer had already closed is replaced once by a new one.
    bool retried_stale(const boost::system::error_code& ec)
    {
        if (!ec || !reused_) {
            return false;
        }
        buffer_.clear();
        connect();
        return true;
    }

    void head_read(const boost::system::error_code& ec)
    {
        if (done_ || retried_stale(ec)) {
            return;
        }
        if (ec) {
            finish(http_end::lost, ec.message());
            return;
        }
        if (parser_->get().result_int() < http_ok) {
            // An interim answer; the final one follows.
            await_head();
            return;
        }
        http_headers headers;
        for (const auto& it : parser_->get()) {
            headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
        }
        if (handlers_.on_head) {
            handlers_.on_head(static_cast<int>(parser_->get().result_int()), headers);
        }
        read_some();
    }

    void read_some()
    {
        if (done_) {
            return;
        }
        if (parser_->is_done()) {
            complete();
            return;
        }
        if (paused_) {
            read_held_ = true;
            arm(milliseconds(0));
            return;
        }
        arm(request_.idle_timeout);
        parser_->get().body().data = chunk_.data();
        parser_->get().body().size = chunk_.size();
        http::async_read_some(*socket_, buffer_, *parser_,
                              bound([self = shared_from_this()](boost::system::error_code read_ec, std::size_t) {
                                  self->body_read(read_ec);
                              }));
    }

    void body_read(boost::system::error_code ec)
    {
        if (done_) {
            return;
        }
        if (ec == http::error::need_buffer) {
            ec = {};
        }
        const std::size_t count = chunk_.size() - parser_->get().body().size;
        if (count > 0 && handlers_.on_data) {
            const auto self = shared_from_this();
            handlers_.on_data({chunk_.data(), count});
        }
        if (ec) {
            finish(http_end::lost, ec.message());
            return;
        }
        read_some();
    }

    void complete()
    {
        if (request_.reuse_connection && written_ && parser_->get().keep_alive() && buffer_.size() == 0) {
            cache_->give(request_.address, std::move(socket_));
        }
        finish(http_end::complete, {});
    }

    void finish(http_end end, const std::string& detail)
    {
        if (std::exchange(done_, true)) {
            return;
        }
        ++timer_round_;
        timer_.cancel();
        if (socket_) {
            boost::system::error_code ec;
            socket_->close(ec);
        }
        auto handlers = std::move(handlers_);
        handlers_ = {};
        if (handlers.on_end) {
            handlers.on_end({end, sent_, refused_, detail});
        }
    }

    static constexpr std::size_t chunk_bytes = 16 * 1024;
    static constexpr std::size_t head_piece_bytes = 4096;
    // Beast's default for the part of a head that is not parsed yet.
    static constexpr std::size_t head_bytes_limit = 8 * 1024;

    net::io_context& context_;
    std::shared_ptr<connection_cache> cache_;
    std::shared_ptr<asio_sequence> sequence_;
    http_call_request request_;
    http_call_handlers handlers_;
    net::steady_timer timer_;
    socket_ptr socket_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    beast::flat_buffer buffer_;
    /// Parsed part of the answer's head.
    std::size_t head_bytes_ = 0;
    std::array<char, chunk_bytes> chunk_ = {};
    std::uint64_t timer_round_ = 0;
    /// Counts connections; handlers of an earlier one are ignored.
    std::uint64_t attempt_ = 0;
    /// The whole request has been sent.
    bool written_ = false;
    bool reused_ = false;
    bool sent_ = false;
    bool refused_ = false;
    bool done_ = false;
    bool paused_ = false;
    bool read_held_ = false;
};

class http_client : public ihttp_client
{
public:
    explicit http_client(worker_pool& pool) : context_(pool.internals().context) {}

    std::shared_ptr<ihttp_call> start(http_call_request request, http_call_handlers handlers,
                                      std::shared_ptr<isequence> sequence) override
    {
        auto call = std::make_shared<http_call>(context_, cache_, sequence, std::move(request), std::move(handlers));
        sequence->post([call] { call->begin(); });
        return call;
    }

private:
    net::io_context& context_;
    std::shared_ptr<connection_cache> cache_ = std::make_shared<connection_cache>();
};

} // namespace

std::shared_ptr<ihttp_call>
ihttp_client::fetch(http_call_request request, std::size_t body_limit, std::shared_ptr<isequence> sequence,
                    std::function<void(const http_call_end& end, const http_answer& answer)> callback)
{
    struct collector
    {
        http_answer answer;
        std::weak_ptr<ihttp_call> call;
        bool oversized = false;
    };
    auto state = std::make_shared<collector>();
    http_call_handlers handlers;
    handlers.on_head = [state](int status, const http_headers& headers) {
        state->answer.status = status;
        state->answer.headers = headers;
    };
    handlers.on_data = [state, body_limit](std::string_view data) {
        if (state->answer.body.size() + data.size() > body_limit) {
            state->oversized = true;
            if (const auto call = state->call.lock()) {
                call->cancel();
            }
            return;
        }
        state->answer.body += data;
    };
    handlers.on_end = [state, callback = std::move(callback)](http_call_end end) {
        if (state->oversized) {
            end.end = http_end::lost;
            end.detail = "the answer exceeds the size limit";
        }
        callback(end, state->answer);
    };
    auto call = start(std::move(request), std::move(handlers), std::move(sequence));
    state->call = call;
    return call;
}

std::unique_ptr<ihttp_client> make_http_client(worker_pool& pool)
{
    return std::make_unique<http_client>(pool);
}

} // namespace anvillead
