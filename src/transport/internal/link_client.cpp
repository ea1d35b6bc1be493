#include <random>

#include "core/ranked_mutex.h"
#include "transport/internal/link_handshake.h"
#include "transport/internal/websocket_link.h"
#include "transport/internal/worker_pool_implementation.h"

namespace anvillead {

namespace {

constexpr milliseconds initial_backoff{20};
constexpr milliseconds max_backoff{1000};
constexpr long handshake_timeout_ms = 1000;

class link_client : public ilink_client, public std::enable_shared_from_this<link_client>
{
public:
    link_client(worker_pool& pool, std::string address, link_options options, link_handlers handlers, metrics& counters)
        : pool_(pool), address_(std::move(address)), options_(std::move(options)), handlers_(std::move(handlers)),
          counters_(counters), random_(std::random_device()())
    {
        configure_endpoint(client_, pool.internals().context, options_.max_message_bytes);
        client_.set_open_handshake_timeout(handshake_timeout_ms);
    }

    void connect()
    {
        websocketpp::lib::error_code ec;
        auto connection = client_.get_connection("ws://" + address_ + "/", ec);
        if (ec) {
            schedule_reconnect();
            return;
        }
        const auto proof =
            make_link_proof(options_.fleet_keys.front(), options_.identity, std::chrono::system_clock::now());
        connection->append_header(identity_header, proof.identity);
        connection->append_header(nonce_header, proof.nonce);
        connection->append_header(time_header, proof.time);
        connection->append_header(proof_header, proof.proof);
        const auto link = std::make_shared<websocket_link<websocket_client::connection_type>>(
            connection, address_, options_.max_unsent_bytes, counters_);
        const auto weak_self = weak_from_this();
        connection->set_open_handler([weak_self, link](websocketpp::connection_hdl) {
            if (const auto self = weak_self.lock()) {
                self->handle_open(link);
            }
        });
        connection->set_close_handler([weak_self, link](websocketpp::connection_hdl) {
            if (const auto self = weak_self.lock()) {
                self->handle_close(link);
            }
        });
        connection->set_fail_handler([weak_self](websocketpp::connection_hdl) {
            if (const auto self = weak_self.lock()) {
                self->schedule_reconnect();
            }
        });
        connection->set_message_handler(
            [weak_self, link](websocketpp::connection_hdl, const websocket_client::message_ptr& message) {
                if (const auto self = weak_self.lock()) {
                    self->handle_message(link, message);
                }
            });
        client_.connect(connection);
    }

    link_ptr current() const override
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    const std::string& address() const override { return address_; }

    void stop() override
    {
        link_ptr link;
        {
            const std::lock_guard lock(mutex_);
            stopped_ = true;
            link = current_;
        }
        if (link) {
            link->close("stopped");
        }
    }

private:
    void handle_open(const link_ptr& link)
    {
        {
            const std::lock_guard lock(mutex_);
            current_ = link;
            backoff_ = initial_backoff;
        }
        log(log_level::info, log_event::link_opened, {{"peer", address_}});
        if (handlers_.on_open) {
            handlers_.on_open(link);
        }
    }

    void handle_close(const link_ptr& link)
    {
        {
            const std::lock_guard lock(mutex_);
            current_ = nullptr;
        }
        if (handlers_.on_closed) {
            handlers_.on_closed(link);
        }
        schedule_reconnect();
    }

    void handle_message(const link_ptr& link, const websocket_client::message_ptr& message)
    {
        counters_.add("link_received_bytes_total", static_cast<double>(message->get_payload().size()));
        if (handlers_.on_message) {
            handlers_.on_message(link, message->get_payload());
        }
    }

    void schedule_reconnect()
    {
        milliseconds delay;
        {
            const std::lock_guard lock(mutex_);
            if (stopped_) {
                return;
            }
            delay = milliseconds(std::uniform_int_distribution<long>(backoff_.count() / 2, backoff_.count())(random_));
            backoff_ = std::min(backoff_ * 2, max_backoff);
        }
        pool_.timers().after(delay, [weak_self = weak_from_this()] {
            const auto self = weak_self.lock();
            if (self && !self->is_stopped()) {
                self->connect();
            }
        });
    }

    bool is_stopped() const
    {
        const std::lock_guard lock(mutex_);
        return stopped_;
    }

    worker_pool& pool_;
    std::string address_;
    link_options options_;
    link_handlers handlers_;
    metrics& counters_;
    websocket_client client_;
    mutable ranked_mutex mutex_{lock_rank::transport};
    link_ptr current_;
    milliseconds backoff_ = initial_backoff;
    std::mt19937 random_;
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<ilink_client> make_link_client(worker_pool& pool, const std::string& address, link_options options,
                                               link_handlers handlers, metrics& counters)
{
    auto client = std::make_shared<link_client>(pool, address, std::move(options), std::move(handlers), counters);
    client->connect();
    return client;
}

} // namespace anvillead
