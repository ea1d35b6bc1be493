#include "transport/ihttp_server.h"

#include <fmt/format.h>

#include "transport/internal/http_session.h"

namespace anvillead {

namespace {

class http_server : public ihttp_server
{
public:
    http_server(worker_pool& pool, const http_server_options& options, http_handler handler, metrics& counters)
        : context_(pool.internals().context), acceptor_(net::make_strand(context_)),
          state_(std::make_shared<http_server_state>())
    {
        state_->limits = options.limits;
        state_->handler = std::move(handler);
        state_->counters = &counters;
        const auto endpoint = parse_endpoint(options.address);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(net::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        accept();
    }

    std::string address() const override
    {
        const auto endpoint = acceptor_.local_endpoint();
        return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    }

    void stop_accepting() override
    {
        state_->accepting = false;
        net::post(acceptor_.get_executor(), [this] {
            boost::system::error_code ec;
            acceptor_.close(ec);
        });
    }

    std::size_t open_exchanges() const override { return state_->exchanges; }

private:
    void accept()
    {
        auto sequence = std::make_shared<asio_sequence>(context_);
        acceptor_.async_accept(sequence->strand,
                               [this, sequence](const boost::system::error_code& ec, net::ip::tcp::socket socket) {
                                   if (ec == net::error::operation_aborted || !acceptor_.is_open()) {
                                       return;
                                   }
                                   if (!ec) {
                                       admit(std::move(socket), sequence);
                                   }
                                   accept();
                               });
    }

    void admit(net::ip::tcp::socket socket, const std::shared_ptr<asio_sequence>& sequence)
    {
        if (state_->connections >= state_->limits.connections) {
            // Closing is the only bounded answer here: writing an error would hold the connection open.
            state_->counters->add("http_connections_refused_total");
            return;
        }
        auto session = std::make_shared<http_session>(std::move(socket), sequence, state_);
        net::post(sequence->strand, [session] { session->start(); });
    }

    net::io_context& context_;
    net::ip::tcp::acceptor acceptor_;
    std::shared_ptr<http_server_state> state_;
};

} // namespace

std::unique_ptr<ihttp_server> make_http_server(worker_pool& pool, const http_server_options& options,
                                               http_handler handler, metrics& counters)
{
    return std::make_unique<http_server>(pool, options, std::move(handler), counters);
}

void reply_error(ihttp_exchange& exchange, const error& value)
{
    http_headers headers = {{"Content-Type", "application/json"}};
    if (value.retry_after) {
        // Retry-After has a resolution of one second; the body carries milliseconds.
        headers.emplace_back("Retry-After", std::to_string((value.retry_after->count() + 999) / 1000));
    }
    exchange.reply(answer_for(value.kind).status, std::move(headers), error_body(value));
}

} // namespace anvillead
