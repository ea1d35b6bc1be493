#include "standins/fault_proxy/connection.h"

#include <boost/asio/write.hpp>

namespace standin {

namespace {

using boost::system::error_code;

} // namespace

connection::connection(route& owner, boost::asio::ip::tcp::socket caller)
    : owner_(owner), caller_(std::move(caller)), target_(caller_.get_executor()),
      duplicate_(caller_.get_executor()), requests_{caller_,
                                                    target_,
                                                    {},
                                                    boost::asio::steady_timer(caller_.get_executor())},
      responses_{target_, caller_, {}, boost::asio::steady_timer(caller_.get_executor())}
{}

void connection::start(const boost::asio::ip::tcp::endpoint& target)
{
    // A frozen route accepts connections, but does not connect to the target.
    owner_.run_when_unfrozen(first_bytes_, [self = shared_from_this(), target] {
        self->target_.async_connect(target, [self](const error_code& ec) {
            if (ec) {
                self->reset();
                return;
            }
            self->read(self->requests_);
            self->read(self->responses_);
        });
        if (self->owner_.faults().duplicate) {
            error_code ec;
            self->duplicate_.connect(target, ec);
            self->discard_duplicate();
        }
    });
}

void connection::reset()
{
    for (auto* it : {&caller_, &target_, &duplicate_}) {
        error_code ec;
        it->set_option(boost::asio::socket_base::linger(true, 0), ec);
        it->close(ec);
    }
    requests_.timer.cancel();
    responses_.timer.cancel();
    owner_.remove_connection(this);
}

void connection::read(copy_loop& direction)
{
    direction.from.async_read_some(boost::asio::buffer(direction.buffer),
                                   [self = shared_from_this(), &direction](const error_code& ec, std::size_t size) {
                                       if (&direction == &self->requests_ && self->first_bytes_.empty() && !ec) {
                                           self->first_bytes_.assign(direction.buffer.data(), size);
                                       }
                                       self->owner_.run_when_unfrozen(self->first_bytes_, [self, &direction, ec, size] {
                                           if (!self->caller_.is_open()) {
                                               return;
                                           }
                                           if (ec == boost::asio::error::eof) {
                                               self->half_close(direction);
                                           } else if (ec) {
                                               self->reset();
                                           } else {
                                               self->on_received(direction, size);
                                           }
                                       });
                                   });
}

void connection::on_received(copy_loop& direction, std::size_t size)
{
    const bool is_request = &direction == &requests_;
    if (!is_request && !std::exchange(response_started_, true) && owner_.take_lost_answer()) {
        reset();
        return;
    }
    if (is_request ? owner_.faults().drop_requests : owner_.faults().drop_answers) {
        read(direction);
        return;
    }
    if (owner_.faults().delay_ms == 0) {
        forward(direction, size);
        return;
    }
    direction.timer.expires_after(std::chrono::milliseconds(owner_.faults().delay_ms));
    direction.timer.async_wait([self = shared_from_this(), &direction, size](const error_code& ec) {
        if (!ec) {
            self->forward(direction, size);
        }
    });
}

void connection::forward(copy_loop& direction, std::size_t size)
{
    if (&direction == &requests_ && duplicate_.is_open()) {
        error_code ec;
        boost::asio::write(duplicate_, boost::asio::buffer(direction.buffer.data(), size), ec);
    }
    boost::asio::async_write(direction.to, boost::asio::buffer(direction.buffer.data(), size),
                             [self = shared_from_this(), &direction](const error_code& ec, std::size_t) {
                                 if (ec) {
                                     self->reset();
                                 } else {
                                     self->read(direction);
                                 }
                             });
}

void connection::half_close(copy_loop& direction)
{
    direction.ended = true;
    error_code ec;
    direction.to.shutdown(boost::asio::socket_base::shutdown_send, ec);
    if (requests_.ended && responses_.ended) {
        caller_.close(ec);
        target_.close(ec);
        duplicate_.close(ec);
        owner_.remove_connection(this);
    }
}

void connection::discard_duplicate()
{
    duplicate_.async_read_some(boost::asio::buffer(discarded_),
                               [self = shared_from_this()](const error_code& ec, std::size_t) {
                                   if (!ec) {
                                       self->discard_duplicate();
                                   }
                               });
}

} // namespace standin
