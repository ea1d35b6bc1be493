#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "apps/gateway/gateway_daemon.h"
#include "standins/engine/engine_server.h"
#include "transport/tests/raw_client.h"

namespace anvillead {

/// Runs gateways in this process with stand-in engines, an agent that sends a single view, and a scheduler that grants
/// immediately.
class gateway_fixture
{
public:
    explicit gateway_fixture(const nlohmann::json& engine_control = nlohmann::json::object(), int gateways = 1);
    ~gateway_fixture();
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;

    /// Request text for `POST /v1/responses` with the key of organisation `galle`.
    static std::string create(const nlohmann::json& body, const std::string& headers = "");
    static std::string get(const std::string& target, const std::string& key = "galle-key");
    std::string send_request(const std::string& text, std::size_t gateway = 0) const;
    std::string address(std::size_t gateway = 0) const { return gateways_[gateway]->address(); }
    gateway_daemon& gateway(std::size_t number = 0) { return *gateways_[number]; }
    /// Returns the value of a metric of a gateway, or 0 if it does not exist.
    double counter(const std::string& name, std::size_t gateway = 0) const;
    void control(std::size_t engine, const nlohmann::json& value) const;
    /// Returns the number of generations that an engine has started.
    std::size_t generations_started(std::size_t engine) const;
    void join() { pool_.join(); }
    bool stopped() const { return stopped_; }

private:
    void agent_message(const link_ptr& link, const std::string& payload);
    void scheduler_message(const link_ptr& link, const std::string& payload);

    worker_pool pool_{4};
    metrics counters_;
    std::vector<std::unique_ptr<standin::engine_server>> engines_;
    std::unique_ptr<ilink_server> scheduler_;
    std::unique_ptr<ilink_server> agent_;
    std::vector<std::unique_ptr<gateway_daemon>> gateways_;
    accepted_configuration configuration_;
    std::atomic<int> grants_{0};
    std::atomic<bool> stopped_{false};
};

/// Events received from an event stream.
struct stream_reading
{
    std::vector<sequence_number> numbers;
    std::string text;
    std::string response_id;
    std::string last_type;

    /// Returns whether the sequence numbers are consecutive.
    bool in_order() const;
};

stream_reading read_stream(const std::string& answer);
bool contains(const std::string& text, std::string_view part);
bool eventually(const std::function<bool()>& condition);

} // namespace anvillead
