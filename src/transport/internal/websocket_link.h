#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "core/log.h"
#include "transport/ilink.h"

namespace anvillead {

using websocket_server = websocketpp::server<websocketpp::config::asio>;
using websocket_client = websocketpp::client<websocketpp::config::asio_client>;

inline constexpr const char* identity_header = "X-Anvillead-Identity";
inline constexpr const char* nonce_header = "X-Anvillead-Nonce";
inline constexpr const char* time_header = "X-Anvillead-Time";
inline constexpr const char* proof_header = "X-Anvillead-Proof";

/// Message link over a WebSocket connection.
template <typename Connection>
class websocket_link : public ilink, public std::enable_shared_from_this<websocket_link<Connection>>
{
public:
    websocket_link(const std::shared_ptr<Connection>& connection, std::string peer, std::size_t max_unsent_bytes,
                   metrics& counters)
        : connection_(connection), peer_(std::move(peer)), max_unsent_bytes_(max_unsent_bytes), counters_(counters)
    {}

    void send(std::string payload) override
    {
        post_to_strand([payload = std::move(payload)](websocket_link& self, Connection& connection) {
            if (connection.get_buffered_amount() > self.max_unsent_bytes_) {
                self.close_now(connection, "unsent bytes exceed the limit");
                return;
            }
            self.counters_.add("link_sent_bytes_total", static_cast<double>(payload.size()));
            self.counters_.add("link_sent_messages_total");
            connection.send(payload.data(), payload.size(), websocketpp::frame::opcode::binary);
        });
    }

    void close(const std::string& reason) override
    {
        post_to_strand([reason](websocket_link& self, Connection& connection) { self.close_now(connection, reason); });
    }

    const std::string& peer() const override { return peer_; }

private:
    /// Runs `task` on the strand of the connection: websocketpp reads the number of unsent bytes without a lock.
    template <typename Task>
    void post_to_strand(Task task)
    {
        const auto connection = connection_.lock();
        if (!connection) {
            return;
        }
        boost::asio::post(*connection->get_strand(), [self = this->shared_from_this(), connection,
                                                      task = std::move(task)] { task(*self, *connection); });
    }

    void close_now(Connection& connection, const std::string& reason)
    {
        log(log_level::warning, log_event::link_closed, {{"peer", peer_}, {"reason", reason}});
        websocketpp::lib::error_code ec;
        connection.close(websocketpp::close::status::policy_violation, reason, ec);
    }

    /// Weak to avoid a reference cycle: the handlers of the connection own the link, and websocketpp never clears them.
    std::weak_ptr<Connection> connection_;
    std::string peer_;
    std::size_t max_unsent_bytes_;
    metrics& counters_;
};

template <typename Endpoint>
void configure_endpoint(Endpoint& endpoint, boost::asio::io_context& context, std::size_t max_message_bytes)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(max_message_bytes);
}

} // namespace anvillead
