#include "transport/internal/http_session.h"

namespace anvillead {

namespace {

// Copies of the head in the request and in what is sent on: the text of each field, and its nodes.
constexpr std::size_t head_copies = 4;

constexpr unsigned http_1_0 = 10;

} // namespace

void http_session::wait_for_request()
{
    phase_ = phase::idle;
    if (reader_.has_input()) {
        read_request();
        return;
    }
    set_busy(false);
    share_.wait_for_request(std::chrono::steady_clock::now());
    update_share();
    // The idle time is limited by keep_alive; the shorter limit for the head applies from its first byte on.
    start_read_timer(state_->limits.keep_alive);
    // An idle connection has no buffer.
    socket_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& ec) {
                           self->stop_read_timer();
                           if (ec || self->phase_ != phase::idle) {
                               self->close();
                               return;
                           }
                           self->receive([self] { self->read_request(); });
                       });
}

void http_session::receive(std::function<void()> next)
{
    socket_.async_read_some(reader_.prepare(), [self = shared_from_this(), next = std::move(next)](
                                                   const boost::system::error_code& ec, std::size_t count) {
        if (self->phase_ != phase::idle) {
            return;
        }
        // A timeout cannot cancel a read that has received something already.
        if (ec || self->read_timed_out_) {
            self->stop_read_timer();
            self->reject(ec);
            return;
        }
        self->reader_.commit(count);
        self->set_busy(true);
        next();
    });
}

void http_session::read_request()
{
    phase_ = phase::idle;
    reader_.begin();
    head_checked_ = false;
    share_.wait_for_request(std::chrono::steady_clock::now());
    start_read_timer(state_->limits.request_timeout);
    parse_head();
}

void http_session::parse_head()
{
    const auto ec = reader_.parse_head();
    if (!update_share()) {
        refuse_for_memory();
        return;
    }
    if (ec != http::error::need_more) {
        on_head_read(ec);
        return;
    }
    receive([this] { parse_head(); });
}

void http_session::on_head_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    start_read_timer(state_->limits.request_timeout);
    if (beast::iequals(reader_.message()[http::field::expect], "100-continue") && !refuse_early()) {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        net::async_write(socket_, net::buffer(continue_response),
                         [self = shared_from_this()](const boost::system::error_code& write_ec, std::size_t) {
                             if (self->phase_ != phase::idle) {
                                 return;
                             }
                             if (write_ec) {
                                 self->close();
                                 return;
                             }
                             self->parse_body();
                         });
        return;
    }
    if (phase_ == phase::idle) {
        parse_body();
    }
}

bool http_session::refuse_early()
{
    if (!state_->check_head || std::exchange(head_checked_, true)) {
        return false;
    }
    const auto refuse = state_->check_head(reader_.request_head());
    if (!refuse) {
        return false;
    }
    stop_read_timer();
    state_->counters->add("http_requests_refused_early_total");
    reply_and_close(refuse);
    return true;
}

void http_session::parse_body()
{
    if (const auto growth = reader_.body_growth(); growth > 0) {
        // The old and the new memory of the body exist at the same time.
        if (!share_.set_bytes(held_bytes() + growth)) {
            refuse_for_memory();
            return;
        }
        reader_.grow_body();
    }
    const auto ec = reader_.parse_body();
    if (!update_share()) {
        refuse_for_memory();
        return;
    }
    if (ec != http::error::need_more) {
        on_body_read(ec);
        return;
    }
    if (refuse_early()) {
        return;
    }
    if (reader_.expects_more_than(state_->limits.receive_buffer_bytes)) {
        widen_receive_buffer();
    }
    receive([this] { parse_body(); });
}

void http_session::refuse_for_memory()
{
    stop_read_timer();
    state_->counters->add("http_bodies_refused_total");
    auto refusal = make_error(error_kind::overloaded, "the requests of others take the memory for requests");
    refusal.retry_after = memory_retry_after;
    reply_error_and_close(refusal);
}

void http_session::on_body_read(const boost::system::error_code& ec)
{
    stop_read_timer();
    if (ec) {
        reject(ec);
        return;
    }
    const auto& message = reader_.message();
    keep_alive_ = message.keep_alive();
    is_http_1_0_ = message.version() <= http_1_0;
    auto request = reader_.request_head();
    if (message.method() == http::verb::trace && reader_.body_bytes() > 0) {
        // RFC 9110, section 9.3.8. It could not be passed on either.
        state_->counters->add("http_rejected_total");
        reply_error_and_close(make_error(error_kind::invalid_request, "a TRACE request has no body"));
        return;
    }
    client_usage usage;
    usage.descriptors = state_->request_usage.descriptors;
    usage.bytes = state_->request_usage.bytes + head_copies * reader_.head_memory();
    request.body = reader_.take_body();
    usage.bytes += request.body.capacity();
    reader_.end_request();
    share_.stop_waiting();
    update_share();
    boost::system::error_code address_ec;
    request.peer_address = socket_.remote_endpoint(address_ec).address().to_string();
    is_head_request_ = request.method == "HEAD";
    phase_ = phase::handling;
    in_exchange_ = true;
    ++exchange_number_;
    ++state_->exchanges;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    watch_for_disconnect();
    auto share = std::make_shared<request_share>(state_->budget);
    if (!share->take(usage)) {
        state_->counters->add("http_bodies_refused_total");
        auto refusal = make_error(error_kind::overloaded, "the requests of others take what requests may take");
        refusal.retry_after = memory_retry_after;
        reply_error(*this, refusal);
        return;
    }
    request.share = std::move(share);
    call_handler(std::move(request));
}

void http_session::reject(const boost::system::error_code& ec)
{
    std::optional<error> rejection;
    if (read_timed_out_ && reader_.has_begun()) {
        rejection = make_error(error_kind::request_timeout, "the request did not arrive in time");
    } else if (ec == http::error::header_limit) {
        rejection = make_error(error_kind::headers_too_large, "the request head exceeds the size limit");
    } else if (ec == http::error::body_limit) {
        rejection = make_error(error_kind::body_too_large, "the request body exceeds the size limit");
    } else if (ec == http::error::buffer_overflow) {
        rejection = make_error(error_kind::invalid_request, "the framing of the request body exceeds the size limit");
    } else if (is_protocol_error(ec)) {
        const auto& problem = reader_.head_problem();
        rejection = make_error(error_kind::invalid_request,
                               "the request is not valid HTTP/1.1: " + (problem.empty() ? ec.message() : problem));
    }
    if (!rejection || !socket_.is_open()) {
        close();
        return;
    }
    state_->counters->add("http_rejected_total");
    reply_error_and_close(*rejection);
}

} // namespace anvillead
