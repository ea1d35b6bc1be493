#include <fmt/format.h>

#include "core/ranked_mutex.h"
#include "transport/internal/link_handshake.h"
#include "transport/internal/websocket_link.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace {

class link_server : public ilink_server
{
public:
    link_server(worker_pool& pool, const std::string& address, link_options options, link_handlers handlers,
                metrics& counters)
        : options_(std::move(options)), handlers_(std::move(handlers)), counters_(counters),
          verifier_(options_.fleet_keys)
    {
        configure_endpoint(server_, pool.internals().context, options_.max_message_bytes);
        server_.set_reuse_addr(true);
        server_.set_tcp_pre_init_handler([](const websocketpp::connection_hdl&) {});
        server_.set_validate_handler([this](websocketpp::connection_hdl handle) { return validate(handle); });
        server_.set_open_handler([this](websocketpp::connection_hdl handle) { handle_open(handle); });
        server_.set_close_handler([this](websocketpp::connection_hdl handle) { handle_close(handle); });
        server_.set_message_handler(
            [this](websocketpp::connection_hdl handle, const websocket_server::message_ptr& message) {
                handle_message(handle, message);
            });
        websocketpp::lib::error_code ec;
        server_.listen(parse_endpoint(address), ec);
        if (ec) {
            // websocketpp does not report the cause; an address in use is the most common one.
            throw std::system_error(std::make_error_code(std::errc::address_in_use), "cannot listen on " + address);
        }
        server_.start_accept();
    }

    std::string address() const override
    {
        websocketpp::lib::asio::error_code ec;
        auto& server = const_cast<websocket_server&>(server_);
        const auto endpoint = server.get_local_endpoint(ec);
        return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    }

    void stop() override
    {
        websocketpp::lib::error_code ec;
        server_.stop_listening(ec);
    }

private:
    bool validate(const websocketpp::connection_hdl& handle)
    {
        const auto connection = server_.get_con_from_hdl(handle);
        const link_proof proof{
            connection->get_request_header(identity_header), connection->get_request_header(nonce_header),
            connection->get_request_header(time_header), connection->get_request_header(proof_header)};
        if (verifier_.verify(proof, std::chrono::system_clock::now())) {
            return true;
        }
        counters_.add("link_rejected_total");
        log(log_level::warning, log_event::link_rejected,
            {{"remote", connection->get_remote_endpoint()},
             {"reason", "the proof of the fleet key is missing or invalid"}});
        connection->set_status(websocketpp::http::status_code::unauthorized);
        return false;
    }

    void handle_open(const websocketpp::connection_hdl& handle)
    {
        const auto connection = server_.get_con_from_hdl(handle);
        const auto link = std::make_shared<websocket_link<websocket_server::connection_type>>(
            connection, connection->get_request_header(identity_header), options_.max_unsent_bytes, counters_);
        {
            const std::lock_guard lock(mutex_);
            links_[handle] = link;
        }
        log(log_level::info, log_event::link_opened, {{"peer", link->peer()}});
        if (handlers_.on_open) {
            handlers_.on_open(link);
        }
    }

    link_ptr find(const websocketpp::connection_hdl& handle, bool remove)
    {
        const std::lock_guard lock(mutex_);
        const auto it = links_.find(handle);
        if (it == links_.end()) {
            return nullptr;
        }
        auto link = it->second;
        if (remove) {
            links_.erase(it);
        }
        return link;
    }

    void handle_close(const websocketpp::connection_hdl& handle)
    {
        const auto link = find(handle, true);
        if (link && handlers_.on_closed) {
            handlers_.on_closed(link);
        }
    }

    void handle_message(const websocketpp::connection_hdl& handle, const websocket_server::message_ptr& message)
    {
        const auto link = find(handle, false);
        if (!link) {
            return;
        }
        counters_.add("link_received_bytes_total", static_cast<double>(message->get_payload().size()));
        if (handlers_.on_message) {
            handlers_.on_message(link, message->get_payload());
        }
    }

    using link_map = std::map<websocketpp::connection_hdl, link_ptr, std::owner_less<websocketpp::connection_hdl>>;

    link_options options_;
    link_handlers handlers_;
    metrics& counters_;
    link_proof_verifier verifier_;
    websocket_server server_;
    ranked_mutex mutex_{lock_rank::transport};
    link_map links_;
};

} // namespace

std::unique_ptr<ilink_server> make_link_server(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters)
{
    return std::make_unique<link_server>(pool, address, std::move(options), std::move(handlers), counters);
}

} // namespace anvillead
