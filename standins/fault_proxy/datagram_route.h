#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

namespace standin {

/// Faults of one datagram route. Several can be set at once.
struct datagram_faults
{
    /// Fraction of datagrams to drop in both directions; 1 should_drop all.
    double drop_share = 0;
    /// Drops all datagrams to the target, or all from it.
    bool drop_requests = false;
    bool drop_answers = false;
    /// Drops all datagrams from and to these senders, each "address:port".
    std::vector<std::string> drop_senders;
    std::int64_t delay_ms = 0;
};

/// Forwards datagrams from one UDP address to a target, and the target's responses to the senders. Each sender has its
/// own socket to the target. Runs on a single-threaded io_context.
class datagram_route
{
public:
    /// Listens on a port that the kernel chooses. Without a target, datagrams are dropped.
    datagram_route(boost::asio::io_context& io, const std::string& target);

    std::string address() const;
    void set_target(const std::string& target);
    /// Changes the faults named in `value` and leaves the others; "seed" reseeds the random choice of dropped
    /// datagrams.
    void control(const nlohmann::json& value);
    nlohmann::json counts() const;

private:
    using udp = boost::asio::ip::udp;
    /// The longest datagram of the membership protocol has 1,200 bytes.
    static constexpr std::size_t datagram_bytes = 2048;

    struct flow
    {
        udp::endpoint sender;
        udp::socket socket;
        std::array<char, datagram_bytes> buffer{};
    };

    void receive();
    void receive_response(flow& value);
    flow& find_or_create_flow(const udp::endpoint& sender);
    bool should_drop(const udp::endpoint& sender, bool is_request);
    void forward(udp::socket& from, const udp::endpoint& to, std::string payload);

    boost::asio::io_context& io_;
    udp::socket socket_;
    udp::endpoint target_;
    udp::endpoint sender_;
    std::array<char, datagram_bytes> buffer_{};
    datagram_faults faults_;
    std::map<udp::endpoint, std::unique_ptr<flow>> flows_;
    std::mt19937 random_{1};
    std::int64_t forwarded_ = 0;
    std::int64_t dropped_ = 0;
};

} // namespace standin
