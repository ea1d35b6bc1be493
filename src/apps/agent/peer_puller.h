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
    /// They run on the sequence.
    struct hooks
    {
        std::function<config_generation()> own_generation;
        /// Digests of configuration parts that this agent collects and does not have.
        std::function<std::vector<std::string>()> missing;
        std::function<void(const state_push&)> on_push;
    };

    peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options, metrics& counters,
                hooks callbacks);
    ~peer_puller();

    /// Asks the agent at a link address. A pull from the same address that is under way is not repeated.
    void pull(const std::string& address, bool members);

private:
    struct entry
    {
        std::shared_ptr<ilink_client> client;
        timer_token timeout = 0;
        /// What was missing when parts were last asked for.
        std::vector<std::string> asked;
    };

    void received(const std::string& address, const link_ptr& link, const std::string& payload);
    void pushed(const std::string& address, const link_ptr& link, const state_push& value);
    void start_timeout(const std::string& address);
    void finish(const std::string& address);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    link_options options_;
    metrics& counters_;
    hooks hooks_;
    std::map<std::string, entry> open_;
    /// The address that parts are asked from; empty for none.
    std::string parts_from_;
};

} // namespace anvillead
