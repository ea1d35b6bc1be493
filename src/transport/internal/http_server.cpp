#include "transport/ihttp_server.h"

#include <fmt/format.h>

#include "transport/internal/http_session.h"

namespace anvillead {

namespace {

constexpr milliseconds refusal_retry_after{1000};
// Delay after a failed accept; without it, running out of file descriptors would cause a busy loop.
constexpr milliseconds accept_retry_delay{50};

/// Accepts connections. Pending operations own the listener, so that the server can be destroyed while the pool runs.
class http_listener : public std::enable_shared_from_this<http_listener>
{
public:
    http_listener(net::io_context& context, const http_server_options& options, http_handler handler, metrics& counters)
        : context_(context), acceptor_(net::make_strand(context)), accept_timer_(acceptor_.get_executor()),
          state_(std::make_shared<http_server_state>())
    {
        state_->limits = options.limits;
        state_->budget = options.budget;
        state_->request_usage = options.request_usage;
        state_->check_head = options.check_head;
        state_->handler = std::move(handler);
        state_->counters = &counters;
        const auto endpoint = parse_endpoint(options.address);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(net::socket_base::reuse_address(true));
        if (options.limits.receive_buffer_bytes > 0) {
            // Connections inherit it, also before they are accepted.
            acceptor_.set_option(
                net::socket_base::receive_buffer_size(static_cast<int>(options.limits.receive_buffer_bytes)));
        }
        boost::system::error_code ec;
        acceptor_.bind(endpoint, ec);
        check_listening(ec, options.address);
        acceptor_.listen(options.limits.backlog, ec);
        check_listening(ec, options.address);
        address_ =
            fmt::format("{}:{}", acceptor_.local_endpoint().address().to_string(), acceptor_.local_endpoint().port());
    }

    const std::string& address() const { return address_; }
    http_server_state& state() { return *state_; }

    void start()
    {
        net::post(acceptor_.get_executor(), [self = shared_from_this()] { self->accept(); });
    }

    void stop()
    {
        state_->accepting = false;
        net::post(acceptor_.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ec;
            self->acceptor_.close(ec);
            self->accept_timer_.cancel();
        });
    }

private:
    void accept()
    {
        if (!acceptor_.is_open()) {
            return;
        }
        auto sequence = std::make_shared<asio_sequence>(context_);
        acceptor_.async_accept(
            sequence->strand, net::bind_executor(acceptor_.get_executor(),
                                                 [self = shared_from_this(), sequence](
                                                     const boost::system::error_code& ec, net::ip::tcp::socket socket) {
                                                     self->on_accepted(ec, std::move(socket), sequence);
                                                 }));
    }

    void on_accepted(const boost::system::error_code& ec, net::ip::tcp::socket socket,
                     const std::shared_ptr<asio_sequence>& sequence)
    {
        if (!acceptor_.is_open()) {
            return;
        }
        if (ec) {
            state_->counters->add("http_accept_failures_total");
            accept_timer_.expires_after(accept_retry_delay);
            accept_timer_.async_wait([self = shared_from_this()](const boost::system::error_code&) { self->accept(); });
            return;
        }
        admit(std::move(socket), sequence);
        accept();
    }

    void admit(net::ip::tcp::socket socket, const std::shared_ptr<asio_sequence>& sequence)
    {
        const bool has_room = state_->connections < state_->limits.connections &&
                              (!state_->budget || state_->budget->make_room_for_connection());
        if (has_room) {
            auto session = std::make_shared<http_session>(std::move(socket), sequence, state_, state_->connections);
            session->take_share();
            net::post(sequence->strand, [session] { session->start(); });
            return;
        }
        state_->counters->add("http_connections_refused_total");
        if (state_->refused_connections >= state_->limits.refused_connections) {
            return;
        }
        auto session = std::make_shared<http_session>(std::move(socket), sequence, state_, state_->refused_connections);
        net::post(sequence->strand, [session] {
            auto refusal = make_error(error_kind::too_many_connections, "the connection limit is reached");
            refusal.retry_after = refusal_retry_after;
            session->reply_error_and_close(refusal);
        });
    }

    net::io_context& context_;
    net::ip::tcp::acceptor acceptor_;
    net::steady_timer accept_timer_;
    std::shared_ptr<http_server_state> state_;
    std::string address_;
};

class http_server : public ihttp_server
{
public:
    explicit http_server(std::shared_ptr<http_listener> listener) : listener_(std::move(listener))
    {
        listener_->start();
    }

    ~http_server() override { listener_->stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::string address() const override { return listener_->address(); }
    void drain() override { listener_->state().draining = true; }
    void stop_accepting() override { listener_->stop(); }
    std::size_t open_exchanges() const override { return listener_->state().exchanges; }
    std::size_t busy_connections() const override { return listener_->state().busy_connections; }
    std::uint64_t arrivals() const override { return listener_->state().arrivals; }

private:
    std::shared_ptr<http_listener> listener_;
};

} // namespace

std::unique_ptr<ihttp_server> make_http_server(worker_pool& pool, const http_server_options& options,
                                               http_handler handler, metrics& counters)
{
    return std::make_unique<http_server>(
        std::make_shared<http_listener>(pool.internals().context, options, std::move(handler), counters));
}

void reply_error(ihttp_exchange& exchange, const error& value)
{
    http_headers headers = {{"Content-Type", "application/json"}};
    if (value.retry_after) {
        // Retry-After is in whole seconds and rounded up; the body contains the value in milliseconds.
        headers.emplace_back("Retry-After", std::to_string((value.retry_after->count() + 999) / 1000));
    }
    exchange.reply(answer_for(value.kind).status, std::move(headers), error_body(value));
}

} // namespace anvillead
