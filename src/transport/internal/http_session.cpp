#include "transport/internal/http_session.h"

namespace anvillead {

namespace {

http_headers copy_headers(const http::fields& fields)
{
    http_headers out;
    for (const auto& it : fields) {
        out.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    return out;
}

} // namespace

http_session::http_session(net::ip::tcp::socket socket, std::shared_ptr<asio_sequence> sequence,
                           std::shared_ptr<http_server_state> state)
    : stream_(std::move(socket)), sequence_(std::move(sequence)), state_(std::move(state))
{
    ++state_->connections;
}

http_session::~http_session()
{
    --state_->connections;
    if (in_exchange_) {
        --state_->exchanges;
    }
}

void http_session::start()
{
    boost::system::error_code ec;
    stream_.socket().set_option(net::ip::tcp::no_delay(true), ec);
    read_head();
}

void http_session::read_head()
{
    phase_ = phase::idle;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(state_->limits.header_bytes));
    parser_->body_limit(state_->limits.body_bytes);
    // The first byte of the next request may take the keep-alive time; a slow head is bounded by the same timer.
    stream_.expires_after(exchange_number_ == 0 ? state_->limits.request_timeout : state_->limits.keep_alive);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) { self->head_read(ec); });
}

void http_session::head_read(const boost::system::error_code& ec)
{
    if (ec) {
        reject(ec);
        return;
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        response_.emplace(http::status::continue_, parser_->get().version());
        http::async_write(stream_, *response_,
                          [self = shared_from_this()](const boost::system::error_code& write_ec, std::size_t) {
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
    stream_.expires_after(state_->limits.request_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) { self->body_read(ec); });
}

void http_session::body_read(const boost::system::error_code& ec)
{
    if (ec) {
        reject(ec);
        return;
    }
    stream_.expires_never();
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copy_headers(message);
    request.body = std::move(message.body());
    boost::system::error_code address_ec;
    request.peer_address = stream_.socket().remote_endpoint(address_ec).address().to_string();
    phase_ = phase::handling;
    in_exchange_ = true;
    ++exchange_number_;
    ++state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    watch_peer();
    state_->handler(std::move(request), shared_from_this());
}

void http_session::reject(const boost::system::error_code& ec)
{
    std::optional<error> answer;
    if (ec == http::error::header_limit) {
        answer = make_error(error_kind::headers_too_large, "the request head exceeds the size limit");
    } else if (ec == http::error::body_limit) {
        answer = make_error(error_kind::body_too_large, "the request body exceeds the size limit");
    } else if (ec == beast::error::timeout && buffer_.size() > 0) {
        answer = make_error(error_kind::request_timeout, "the request did not arrive in time");
    } else if (ec.category() == make_error_code(http::error::bad_method).category() &&
               ec != http::error::end_of_stream && ec != http::error::partial_message) {
        answer = make_error(error_kind::invalid_request, "the request is not valid HTTP/1.1: " + ec.message());
    }
    if (!answer || !stream_.socket().is_open()) {
        close();
        return;
    }
    state_->counters->add("http_rejected_total");
    keep_alive_ = false;
    phase_ = phase::handling;
    in_exchange_ = true;
    ++state_->exchanges;
    reply_error(*this, *answer);
}

void http_session::watch_peer()
{
    // A readable socket without data means that the peer closed it; pipelined data is left for the next request.
    stream_.socket().async_wait(net::ip::tcp::socket::wait_read,
                                [self = shared_from_this(), n = exchange_number_](const boost::system::error_code& ec) {
                                    if (ec || n != self->exchange_number_ || !self->in_exchange_) {
                                        return;
                                    }
                                    boost::system::error_code available_ec;
                                    if (self->stream_.socket().available(available_ec) == 0) {
                                        self->peer_gone();
                                    }
                                });
}

void http_session::reply(int status, http_headers headers, std::string body)
{
    if (phase_ != phase::handling) {
        return;
    }
    phase_ = phase::ending;
    response_.emplace(static_cast<http::status>(status), 11);
    for (const auto& [key, value] : headers) {
        response_->set(key, value);
    }
    response_->keep_alive(keep_alive_);
    response_->body() = std::move(body);
    response_->prepare_payload();
    stream_.expires_after(state_->limits.write_timeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
                          if (ec) {
                              self->peer_gone();
                              return;
                          }
                          self->finish_exchange();
                      });
}

void http_session::begin_stream(int status, http_headers headers)
{
    if (phase_ != phase::handling) {
        return;
    }
    phase_ = phase::streaming;
    stream_head_.emplace(static_cast<http::status>(status), 11);
    for (const auto& [key, value] : headers) {
        stream_head_->set(key, value);
    }
    stream_head_->keep_alive(keep_alive_);
    stream_head_->chunked(true);
    stream_serializer_.emplace(*stream_head_);
    write_active_ = true;
    stream_.expires_after(state_->limits.write_timeout);
    http::async_write_header(
        stream_, *stream_serializer_,
        [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) { self->flushed(ec); });
}

void http_session::write(std::string_view data)
{
    if (phase_ != phase::streaming || data.empty()) {
        return;
    }
    pending_ += data;
    flush();
}

void http_session::end_stream()
{
    if (phase_ != phase::streaming) {
        return;
    }
    phase_ = phase::ending;
    flush();
}

void http_session::flush()
{
    if (write_active_ || phase_ == phase::closed) {
        return;
    }
    const auto on_written = [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
        self->flushed(ec);
    };
    if (!pending_.empty()) {
        write_active_ = true;
        writing_.swap(pending_);
        stream_.expires_after(state_->limits.write_timeout);
        net::async_write(stream_, http::make_chunk(net::buffer(writing_)), on_written);
        return;
    }
    if (phase_ == phase::ending) {
        write_active_ = true;
        stream_.expires_after(state_->limits.write_timeout);
        net::async_write(stream_, http::make_chunk_last(),
                         [self = shared_from_this()](const boost::system::error_code& ec, std::size_t) {
                             self->write_active_ = false;
                             if (ec) {
                                 self->peer_gone();
                                 return;
                             }
                             self->finish_exchange();
                         });
    }
}

void http_session::flushed(const boost::system::error_code& ec)
{
    write_active_ = false;
    writing_.clear();
    if (ec) {
        peer_gone();
        return;
    }
    stream_.expires_never();
    if (pending_.empty() && phase_ == phase::streaming && on_drained_) {
        auto callback = on_drained_;
        callback();
    }
    flush();
}

void http_session::finish_exchange()
{
    if (phase_ == phase::closed) {
        return;
    }
    in_exchange_ = false;
    --state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    stream_.expires_never();
    if (!keep_alive_ || !state_->accepting) {
        close();
        return;
    }
    read_head();
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
    phase_ = phase::closed;
    pending_.clear();
    on_drained_ = nullptr;
    if (std::exchange(in_exchange_, false)) {
        --state_->exchanges;
    }
    boost::system::error_code ec;
    stream_.socket().shutdown(net::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
}

} // namespace anvillead
