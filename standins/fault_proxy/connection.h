#pragma once

#include <array>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standins/fault_proxy/route.h"

namespace standin {

/// One connection of a route: two sockets and a copy loop in each direction.
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

    /// One direction.
    struct pump
    {
        socket& from;
        socket& to;
        std::array<char, chunk_bytes> buffer{};
        boost::asio::steady_timer timer;
        bool ended = false;
    };

    void read(pump& direction);
    void received(pump& direction, std::size_t size);
    void pass(pump& direction, std::size_t size);
    void end(pump& direction);
    void discard_duplicate();

    route& owner_;
    socket caller_;
    socket target_;
    socket duplicate_;
    pump requests_;
    pump answers_;
    std::array<char, chunk_bytes> discarded_{};
    /// The first bytes that the caller sent.
    std::string greeting_;
    bool answered_ = false;
};

} // namespace standin
