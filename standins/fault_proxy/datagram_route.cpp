#include "standins/fault_proxy/datagram_route.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "standins/fault_proxy/route.h"

namespace standin {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

udp::endpoint parse_udp(const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    return {endpoint.address(), endpoint.port()};
}

std::string to_text(const udp::endpoint& value)
{
    return fmt::format("{}:{}", value.address().to_string(), value.port());
}

} // namespace

datagram_route::datagram_route(boost::asio::io_context& io, const std::string& target)
    : io_(io), socket_(io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), target_(parse_udp(target))
{
    receive();
}

std::string datagram_route::address() const
{
    return to_text(socket_.local_endpoint());
}

void datagram_route::set_target(const std::string& target)
{
    target_ = parse_udp(target);
}

void datagram_route::control(const nlohmann::json& value)
{
    faults_.drop_share = value.value("drop_share", faults_.drop_share);
    faults_.drop_requests = value.value("drop_requests", faults_.drop_requests);
    faults_.drop_answers = value.value("drop_answers", faults_.drop_answers);
    faults_.drop_senders = value.value("drop_senders", faults_.drop_senders);
    faults_.delay_ms = value.value("delay_ms", faults_.delay_ms);
    if (value.contains("seed")) {
        random_.seed(value.value("seed", 1U));
    }
}

nlohmann::json datagram_route::counts() const
{
    return {{"passed", forwarded_}, {"dropped", dropped_}};
}

void datagram_route::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const error_code& ec, std::size_t size) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec && target_.port() != 0 && !should_drop(sender_, true)) {
            forward(find_or_create_flow(sender_).socket, target_, std::string(buffer_.data(), size));
        }
        receive();
    });
}

datagram_route::flow& datagram_route::find_or_create_flow(const udp::endpoint& sender)
{
    auto& it = flows_[sender];
    if (!it) {
        const udp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        it.reset(new flow{sender, udp::socket(io_, any), {}});
        receive_response(*it);
    }
    return *it;
}

void datagram_route::receive_response(flow& value)
{
    value.socket.async_receive(boost::asio::buffer(value.buffer),
                               [this, &value](const error_code& ec, std::size_t size) {
                                   if (ec == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!ec && !should_drop(value.sender, false)) {
                                       forward(socket_, value.sender, std::string(value.buffer.data(), size));
                                   }
                                   receive_response(value);
                               });
}

bool datagram_route::should_drop(const udp::endpoint& sender, bool is_request)
{
    const auto& listed = faults_.drop_senders;
    const bool dropped = (is_request ? faults_.drop_requests : faults_.drop_answers) ||
                         std::find(listed.begin(), listed.end(), to_text(sender)) != listed.end() ||
                         std::generate_canonical<double, 32>(random_) < faults_.drop_share;
    ++(dropped ? dropped_ : forwarded_);
    return dropped;
}

void datagram_route::forward(udp::socket& from, const udp::endpoint& to, std::string payload)
{
    if (faults_.delay_ms == 0) {
        error_code ec;
        from.send_to(boost::asio::buffer(payload), to, 0, ec);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(faults_.delay_ms));
    timer->async_wait([timer, &from, to, payload = std::move(payload)](const error_code& ec) {
        if (!ec) {
            error_code ignored;
            from.send_to(boost::asio::buffer(payload), to, 0, ignored);
        }
    });
}

} // namespace standin
