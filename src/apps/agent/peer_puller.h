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
    /// `on_push` and `own_generation` run on the sequence.
    peer_puller(worker_pool& pool, std::shared_ptr<isequence> sequence, link_options options, metrics& counters,
                std::function<config_generation()> own_generation, std::function<void(state_push)> on_push);
    ~peer_puller();

    /// Asks the agent at a link address. A pull from the same address that is under way is not repeated.
    void pull(const std::string& address, bool members);

private:
    struct entry
    {
        std::shared_ptr<ilink_client> client;
        timer_token timeout = 0;
    };

    void received(const std::string& address, const std::string& payload);
    void finish(const std::string& address);

    worker_pool& pool_;
    std::shared_ptr<isequence> sequence_;
    link_options options_;
    metrics& counters_;
    std::function<config_generation()> own_generation_;
    std::function<void(state_push)> on_push_;
    std::map<std::string, entry> open_;
};

} // namespace anvillead
