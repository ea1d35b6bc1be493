#pragma once

#include <array>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standins/fault_proxy/route.h"

namespace standin {

/// Forwards one TCP connection of a route, with a copy loop for each direction.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(route& owner, boost::asio::ip::tcp::socket caller);

    void start(const boost::asio::ip::tcp::endpoint& target);
    /// Closes both sides with a TCP reset.
    void reset();

private:
    using socket = boost::asio::ip::tcp::socket;
    static constexpr std::size_t chunk_bytes = 16 * 1024;

    /// State of the copy loop of one direction.
    struct copy_loop
    {
        socket& from;
        socket& to;
        std::array<char, chunk_bytes> buffer{};
        boost::asio::steady_timer timer;
        bool ended = false;
    };

    void read(copy_loop& direction);
    void on_received(copy_loop& direction, std::size_t size);
    void forward(copy_loop& direction, std::size_t size);
    void half_close(copy_loop& direction);
    void discard_duplicate();

    route& owner_;
    socket caller_;
    socket target_;
    socket duplicate_;
    copy_loop requests_;
    copy_loop responses_;
    std::array<char, chunk_bytes> discarded_{};
    /// The first bytes that the caller sent.
    std::string first_bytes_;
    bool response_started_ = false;
};

} // namespace standin
