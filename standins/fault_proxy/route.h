#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

namespace standin {

/// Faults of one route. Several can be set at once.
struct route_faults
{
    /// Resets open connections and each new one.
    bool cut = false;
    /// Keeps connections and accepts new ones, but forwards nothing, not even the end of a stream.
    bool freeze = false;
    /// Discards everything that callers send, or everything that the target sends.
    bool drop_requests = false;
    bool drop_answers = false;
    /// Opens a second connection to the target for each new connection, sends it the same bytes and discards
    /// its responses.
    bool duplicate = false;
    /// Delay before each chunk is forwarded.
    std::int64_t delay_ms = 0;
    /// Number of connections to reset when the target starts to respond, before any byte of the response is forwarded.
    std::int64_t lose_answers = 0;
    /// Freezes the connections whose first bytes contain one of these texts, for example a host's identity in the
    /// handshake of a link.
    std::vector<std::string> freeze_callers;
};

class connection;

/// Forwards TCP connections from one listening address to a target. Runs on a single-threaded io_context.
class route
{
public:
    /// Listens on a port that the kernel chooses. Without a target, connections are reset.
    route(boost::asio::io_context& io, const std::string& target);
    ~route();

    std::string address() const;
    void set_target(const std::string& target);
    const route_faults& faults() const { return faults_; }
    /// Changes the faults named in `value` and leaves the others.
    void control(const nlohmann::json& value);
    nlohmann::json counts() const;

    /// Runs `action` now, or as soon as the connection whose first bytes are `first_bytes` is no longer frozen.
    void run_when_unfrozen(const std::string& first_bytes, std::function<void()> action);
    /// Decrements the number of responses still to be lost; returns false if it is already zero.
    bool take_lost_answer();
    void remove_connection(const connection* value);

private:
    void accept();
    bool is_frozen(const std::string& first_bytes) const;

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    route_faults faults_;
    std::list<std::shared_ptr<connection>> connections_;
    /// First bytes of a frozen connection, and the action to run once it is unfrozen.
    std::vector<std::pair<std::string, std::function<void()>>> delayed_actions_;
    std::int64_t accepted_ = 0;
    std::int64_t lost_answers_ = 0;
};

/// Parses "address:port".
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

} // namespace standin
