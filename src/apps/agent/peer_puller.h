#pragma once

#include <functional>
#include <map>
#include <string>

#include "messages/types/messages.h"
#include "transport/ilink.h"

namespace anvillead {

/// Pulls state from other agents over short-lived links. Runs on the agent's sequence.
class peer_puller
{
public:
    /// Called on the sequence.
    struct hooks
    {
        std::function<config_generation()> own_generation;
        /// Returns the digests of the configuration parts that this agent still needs.
        std::function<std::vector<std::string>()> missing_parts;
        std::function<void(const state_push&)> on_push;
    };

    peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options, metrics& counters,
                hooks callbacks);
    ~peer_puller();

    /// Pulls state from the agent at a link address. Does nothing if a pull from this address is in progress.
    void pull(const std::string& address, bool members);

private:
    struct pending_pull
    {
        std::shared_ptr<ilink_client> client;
        timer_id timeout = 0;
        /// The parts that were last requested.
        std::vector<std::string> requested_parts;
    };

    void on_message(const std::string& address, const link_ptr& link, const std::string& payload);
    void on_state_push(const std::string& address, const link_ptr& link, const state_push& value);
    void start_timeout(const std::string& address);
    void finish(const std::string& address);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    link_options options_;
    metrics& counters_;
    hooks hooks_;
    std::map<std::string, pending_pull> pulls_;
    /// The only address that parts are requested from; empty for none.
    std::string parts_source_;
};

} // namespace anvillead
