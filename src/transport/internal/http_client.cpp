#include "transport/ihttp_client.h"

#include <array>
#include <deque>
#include <limits>
#include <list>
#include <map>
#include <optional>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/log.h"
#include "transport/internal/http_head.h"
#include "transport/internal/socket_state.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace {

namespace http = boost::beast::http;
namespace beast = boost::beast;
using socket_ptr = std::unique_ptr<net::ip::tcp::socket>;

constexpr unsigned http_ok = 200;

/// Lets a connection to a dead peer fail after `timeout`, whether data is in flight or the connection is idle.
/// TCP_USER_TIMEOUT decides in both cases, whatever the number of keep-alive probes; the number matches it for systems
/// without that option.
void enable_dead_peer_detection(net::ip::tcp::socket& socket, milliseconds timeout)
{
    if (timeout.count() == 0) {
        return;
    }
    using user_timeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using probe_idle = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probe_count = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    const int probes = std::max(1, static_cast<int>(timeout / seconds(1)) - 1);
    // Errors are ignored: on a system without one of these options the timeouts of the call still apply.
    boost::system::error_code ec;
    socket.set_option(user_timeout(static_cast<int>(timeout.count())), ec);
    socket.set_option(net::socket_base::keep_alive(true), ec);
    socket.set_option(probe_idle(1), ec);
    socket.set_option(probe_interval(1), ec);
    socket.set_option(probe_count(probes), ec);
}

/// Idle connections for reuse, by address.
class idle_connection_pool
{
public:
    /// `limit` is the number of idle connections to all addresses.
    explicit idle_connection_pool(std::size_t limit) : limit_(limit) {}

    socket_ptr acquire(const std::string& address)
    {
        const std::lock_guard lock(mutex_);
        const auto found = idle_.find(address);
        socket_ptr out;
        while (found != idle_.end() && !found->second.empty() && !out) {
            const auto entry = found->second.back();
            found->second.pop_back();
            if (is_silent(*entry->socket)) {
                out = std::move(entry->socket);
            }
            by_age_.erase(entry);
        }
        if (found != idle_.end() && found->second.empty()) {
            idle_.erase(found);
        }
        return out;
    }

    void release(const std::string& address, socket_ptr socket)
    {
        const std::lock_guard lock(mutex_);
        auto& idle = idle_[address];
        if (idle.size() < max_idle_per_address) {
            idle.push_back(by_age_.insert(by_age_.end(), {address, std::move(socket)}));
        }
        if (by_age_.size() > limit_) {
            remove_oldest();
        }
    }

private:
    struct entry
    {
        std::string address;
        socket_ptr socket;
    };

    void remove_oldest()
    {
        const auto found = idle_.find(by_age_.front().address);
        // The oldest one of all is the oldest one of its address.
        found->second.pop_front();
        if (found->second.empty()) {
            idle_.erase(found);
        }
        by_age_.pop_front();
    }

    /// Whether the peer has neither closed the connection nor sent anything since the last answer. Bytes that arrive
    /// before a request belong to no request.
    static bool is_silent(net::ip::tcp::socket& socket)
    {
        char byte = 0;
        boost::system::error_code ec;
        socket.non_blocking(true, ec);
        (void)socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, ec);
        return ec == net::error::would_block || ec == net::error::try_again;
    }

    static constexpr std::size_t max_idle_per_address = 16;

    ranked_mutex mutex_{lock_rank::transport};
    std::size_t limit_;
    std::list<entry> by_age_;
    std::map<std::string, std::deque<std::list<entry>::iterator>> idle_;
};

class http_call : public ihttp_call, public std::enable_shared_from_this<http_call>
{
public:
    http_call(net::io_context& context, std::shared_ptr<idle_connection_pool> pool, std::string source_address,
              std::size_t receive_buffer_bytes, std::shared_ptr<isequence> sequence, http_call_request request,
              http_call_handlers handlers)
        : context_(context), pool_(std::move(pool)), source_address_(std::move(source_address)),
          receive_buffer_bytes_(receive_buffer_bytes), sequence_(std::static_pointer_cast<asio_sequence>(sequence)),
          request_(std::move(request)), handlers_(std::move(handlers)), timer_(context), end_timer_(context)
    {}

    void start_call()
    {
        if (const auto problem = find_invalid_part(request_.target, request_.headers); !problem.empty()) {
            log(log_level::error, log_event::request_rejected, {{"peer", request_.address}, {"problem", problem}});
            finish(http_call_outcome::connect_failed, problem);
            return;
        }
        if (request_.reuse_connection) {
            socket_ = pool_->acquire(request_.address);
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
        // Posted, because finish() destroys the handlers, and one of them may be the caller of cancel().
        net::post(sequence_->strand, [self = shared_from_this()] { self->finish(http_call_outcome::cancelled, {}); });
    }

    void pause() override { paused_ = true; }

    void resume() override
    {
        if (!std::exchange(paused_, false)) {
            return;
        }
        if (std::exchange(read_deferred_, false)) {
            read_some();
        }
    }

    bool framed() const override { return parser_ && parser_->is_header_done() && !parser_->need_eof(); }

    bool peer_connected() const override
    {
        return !done_ && send_started_ && socket_ && !peer_has_ended(socket_->native_handle());
    }

private:
    template <typename Handler>
    auto bind_to_strand(Handler handler)
    {
        return net::bind_executor(sequence_->strand, std::move(handler));
    }

    void start_timer(milliseconds timeout)
    {
        ++timer_wait_number_;
        if (timeout.count() == 0) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(timeout);
        timer_.async_wait(
            bind_to_strand([self = shared_from_this(), n = timer_wait_number_](const boost::system::error_code& ec) {
                if (!ec && n == self->timer_wait_number_) {
                    self->finish(self->send_started_ ? http_call_outcome::timeout : http_call_outcome::connect_failed,
                                 "timeout");
                }
            }));
    }

    void connect()
    {
        reused_ = false;
        ++connection_number_;
        socket_ = std::make_unique<net::ip::tcp::socket>(context_);
        if (const auto ec = prepare_socket()) {
            finish(http_call_outcome::connect_failed, ec.message());
            return;
        }
        start_timer(request_.connect_timeout);
        socket_->async_connect(
            parse_endpoint(request_.address),
            bind_to_strand([self = shared_from_this(), n = connection_number_](const boost::system::error_code& ec) {
                if (self->done_ || n != self->connection_number_) {
                    return;
                }
                if (ec) {
                    self->connection_refused_ = ec == net::error::connection_refused;
                    self->finish(http_call_outcome::connect_failed, ec.message());
                    return;
                }
                self->send();
            }));
    }

    boost::system::error_code prepare_socket()
    {
        boost::system::error_code ec;
        socket_->open(parse_endpoint(request_.address).protocol(), ec);
        if (!ec && receive_buffer_bytes_ > 0) {
            // Before the connection, which fixes the scale of the window.
            boost::system::error_code unsupported;
            socket_->set_option(net::socket_base::receive_buffer_size(static_cast<int>(receive_buffer_bytes_)),
                                unsupported);
        }
        if (ec || source_address_.empty()) {
            return ec;
        }
        const auto address = net::ip::make_address(source_address_, ec);
        if (!ec) {
            // The port is chosen at the connect, so that connections to different peers may share one.
            using bind_without_port = net::detail::socket_option::integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
            boost::system::error_code unsupported;
            socket_->set_option(bind_without_port(1), unsupported);
            socket_->bind({address, 0}, ec);
        }
        return ec;
    }

    void send()
    {
        boost::system::error_code ec;
        socket_->set_option(net::ip::tcp::no_delay(true), ec);
        enable_dead_peer_detection(*socket_, request_.dead_peer_timeout);
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
        const auto& body = request_.shared_body ? *request_.shared_body : request_.body;
        message_.body() = {body.data(), body.size()};
        message_.prepare_payload();
        send_started_ = true;
        request_written_ = false;
        write_error_ = {};
        head_ = {};
        start_timer(request_.head_timeout);
        http::async_write(*socket_, message_,
                          bind_to_strand([self = shared_from_this(), n = connection_number_](
                                             const boost::system::error_code& write_ec, std::size_t) {
                              if (n == self->connection_number_) {
                                  self->request_written_ = !write_ec;
                                  self->write_error_ = write_ec;
                              }
                          }));
        // The read starts before the write completes: a peer may respond before it has received the whole body and then
        // stop reading. The kernel reports a reset once: where the write takes it, the read sees an ordinary end.
        read_head();
    }

    void read_head()
    {
        parser_.emplace();
        parser_->header_limit(max_head_bytes);
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        // The headers of a response to HEAD describe a body that is not sent.
        parser_->skip(request_.method == "HEAD");
        parse_head();
    }

    void parse_head()
    {
        const auto ec = parse_head_part(*parser_, buffer_, head_, max_head_bytes);
        if (ec != http::error::need_more) {
            on_head_read(ec);
            return;
        }
        socket_->async_read_some(buffer_.prepare(head_read_bytes),
                                 bind_to_strand([self = shared_from_this(), n = connection_number_](
                                                    const boost::system::error_code& read_ec, std::size_t count) {
                                     if (self->done_ || n != self->connection_number_) {
                                         return;
                                     }
                                     if (read_ec) {
                                         self->on_head_read(read_ec);
                                         return;
                                     }
                                     self->buffer_.commit(count);
                                     self->parse_head();
                                 }));
    }

    /// Repeats the request once on a new connection if a reused one failed, because the peer may have closed it while
    /// it was idle. Returns whether it did.
    bool retry_stale_connection(const boost::system::error_code& ec)
    {
        if (!ec || !reused_) {
            return false;
        }
        buffer_.clear();
        connect();
        return true;
    }

    void on_head_read(const boost::system::error_code& ec)
    {
        if (done_ || retry_stale_connection(ec)) {
            return;
        }
        if (ec) {
            report_invalid_answer(ec);
            finish(http_call_outcome::lost, head_.problem.empty() ? ec.message() : head_.problem);
            return;
        }
        if (parser_->get().result_int() < http_ok) {
            // An interim (1xx) response; the final one follows.
            read_head();
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

    void report_invalid_answer(const boost::system::error_code& ec) const
    {
        if (is_protocol_error(ec)) {
            log(log_level::warning, log_event::answer_rejected,
                {{"peer", request_.address}, {"reason", ec.message()}, {"problem", head_.problem}});
        }
    }

    void read_some()
    {
        if (done_) {
            return;
        }
        if (parser_->is_done()) {
            if (parser_->need_eof()) {
                confirm_end();
            } else {
                complete();
            }
            return;
        }
        if (paused_) {
            read_deferred_ = true;
            start_timer(milliseconds(0));
            return;
        }
        start_timer(request_.idle_timeout);
        parser_->get().body().data = body_buffer_.data();
        parser_->get().body().size = body_buffer_.size();
        http::async_read_some(
            *socket_, buffer_, *parser_,
            bind_to_strand([self = shared_from_this()](boost::system::error_code read_ec, std::size_t) {
                self->on_body_read(read_ec);
            }));
    }

    void on_body_read(boost::system::error_code ec)
    {
        if (done_) {
            return;
        }
        if (ec == http::error::need_buffer) {
            ec = {};
        }
        const std::size_t count = body_buffer_.size() - parser_->get().body().size;
        if (count > 0 && handlers_.on_data) {
            const auto self = shared_from_this();
            handlers_.on_data({body_buffer_.data(), count});
        }
        if (ec) {
            report_invalid_answer(ec);
            finish(http_call_outcome::lost, ec.message());
            return;
        }
        read_some();
    }

    /// An answer without framing ends with its connection, in an orderly way only if the peer also takes the request to
    /// its end: a peer that has reset the connection, or that is gone, does not.
    void confirm_end()
    {
        if (done_) {
            return;
        }
        const auto ec = write_error_ ? write_error_ : take_socket_error(socket_->native_handle());
        if (ec) {
            finish(http_call_outcome::lost, "the connection was lost before the request was sent: " + ec.message());
            return;
        }
        if (request_written_ && unacknowledged_bytes(socket_->native_handle()) == 0) {
            complete();
            return;
        }
        end_timer_.expires_after(end_check_period);
        end_timer_.async_wait(bind_to_strand([self = shared_from_this()](const boost::system::error_code& wait_ec) {
            if (!wait_ec) {
                self->confirm_end();
            }
        }));
    }

    void complete()
    {
        if (request_.reuse_connection && request_written_ && parser_->get().keep_alive() && buffer_.size() == 0) {
            pool_->release(request_.address, std::move(socket_));
        }
        finish(http_call_outcome::complete, {});
    }

    void finish(http_call_outcome outcome, const std::string& detail)
    {
        if (std::exchange(done_, true)) {
            return;
        }
        ++timer_wait_number_;
        timer_.cancel();
        end_timer_.cancel();
        if (socket_) {
            boost::system::error_code ec;
            socket_->close(ec);
        }
        auto handlers = std::move(handlers_);
        handlers_ = {};
        if (handlers.on_end) {
            handlers.on_end({outcome, send_started_, connection_refused_, detail, framed()});
        }
    }

    /// Interval at which the rest of a request is checked whose answer has ended.
    static constexpr milliseconds end_check_period{5};
    static constexpr std::size_t body_read_bytes = 8 * 1024;
    static constexpr std::size_t head_read_bytes = 4096;
    // Equals Beast's default limit, which applies to the unparsed part of a head only.
    static constexpr std::size_t max_head_bytes = 8 * 1024;
    // Bounds the framing of a body, which is buffered until it can be parsed: the line of a chunk, or all trailers.
    static constexpr std::size_t max_unparsed_bytes = 16 * 1024;
    static_assert(max_unparsed_bytes >= max_head_bytes + head_read_bytes);

    net::io_context& context_;
    std::shared_ptr<idle_connection_pool> pool_;
    std::string source_address_;
    std::size_t receive_buffer_bytes_;
    std::shared_ptr<asio_sequence> sequence_;
    http_call_request request_;
    http_call_handlers handlers_;
    net::steady_timer timer_;
    net::steady_timer end_timer_;
    socket_ptr socket_;
    /// Its body is that of `request_`.
    http::request<http::span_body<const char>> message_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    /// The response head, with the interim responses before it.
    parsed_head head_;
    std::array<char, body_read_bytes> body_buffer_ = {};
    std::uint64_t timer_wait_number_ = 0;
    /// Number of the current connection; completion handlers of earlier ones are ignored.
    std::uint64_t connection_number_ = 0;
    /// The whole request has been written to the socket.
    bool request_written_ = false;
    boost::system::error_code write_error_;
    bool reused_ = false;
    bool send_started_ = false;
    bool connection_refused_ = false;
    bool done_ = false;
    bool paused_ = false;
    bool read_deferred_ = false;
};

class http_client : public ihttp_client
{
public:
    http_client(worker_pool& pool, http_client_options options)
        : context_(pool.internals().context), options_(std::move(options)),
          pool_(std::make_shared<idle_connection_pool>(options_.idle_connections))
    {}

    std::shared_ptr<ihttp_call> start(http_call_request request, http_call_handlers handlers,
                                      std::shared_ptr<isequence> sequence) override
    {
        auto call = std::make_shared<http_call>(
            context_, pool_, options_.source_address ? options_.source_address() : std::string(),
            options_.receive_buffer_bytes, sequence, std::move(request), std::move(handlers));
        sequence->post([call] { call->start_call(); });
        return call;
    }

private:
    net::io_context& context_;
    http_client_options options_;
    std::shared_ptr<idle_connection_pool> pool_;
};

} // namespace

std::shared_ptr<ihttp_call>
ihttp_client::fetch(http_call_request request, std::size_t body_limit, std::shared_ptr<isequence> sequence,
                    std::function<void(const http_call_result& call_result, const http_response& response)> callback)
{
    struct response_collector
    {
        explicit response_collector(std::shared_ptr<byte_budget> budget) : buffer(std::move(budget)) {}

        http_response response;
        budgeted_buffer buffer;
        std::weak_ptr<ihttp_call> call;
        bool oversized = false;
    };
    auto state = std::make_shared<response_collector>(request.body_budget);
    http_call_handlers handlers;
    handlers.on_head = [state](int status, const http_headers& headers) {
        state->response.status = status;
        state->response.headers = headers;
    };
    handlers.on_data = [state, body_limit](std::string_view data) {
        const auto size = state->response.body.size() + data.size();
        if (size > body_limit || !state->buffer.grow_to(size)) {
            state->oversized = true;
            if (const auto call = state->call.lock()) {
                call->cancel();
            }
            return;
        }
        state->response.body += data;
    };
    handlers.on_end = [state, callback = std::move(callback)](http_call_result call_result) {
        if (state->oversized) {
            call_result.end = http_call_outcome::lost;
            call_result.oversized = true;
            call_result.detail = "the answer exceeds the size limit";
        }
        callback(call_result, state->response);
    };
    auto call = start(std::move(request), std::move(handlers), std::move(sequence));
    state->call = call;
    return call;
}

std::unique_ptr<ihttp_client> make_http_client(worker_pool& pool, http_client_options options)
{
    return std::make_unique<http_client>(pool, std::move(options));
}

} // namespace anvillead
