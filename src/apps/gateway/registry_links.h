#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "apps/common/agent_link.h"
#include "apps/gateway/claim_settings.h"
#include "claims/request_registry.h"

namespace anvillead {

/// Distributed registry of idempotent requests. An entry is stored at the two gateways that rank highest for its key by
/// rendezvous hashing, which may include this one. If both fail, a repeated request runs again, which is allowed for
/// idempotent requests.
class registry_links
{
public:
    registry_links(worker_pool& pool, link_options options, host_id self, const claim_settings& settings,
                   metrics& counters);

    void apply_view(const view_ptr& view);
    /// Returns the handlers of the link server, which process requests of other gateways.
    link_handlers server_handlers();

    void put(const std::string& key_hash, const std::string& response_id);
    /// `callback` receives nullopt if no gateway has an entry for the key or none replies in time. It may be called
    /// before look_up() returns.
    void look_up(const std::string& key_hash, std::function<void(std::optional<std::string>)> callback);

private:
    struct peer
    {
        std::shared_ptr<ilink_client> client;
        /// Messages queued until the link opens.
        std::vector<std::string> outbox;
    };

    struct lookup
    {
        std::function<void(std::optional<std::string>)> callback;
        std::size_t pending_replies = 0;
        timer_id timer = 0;
    };

    /// Returns the link addresses of the gateways that store the key. An empty string stands for this gateway.
    std::vector<std::string> owners_of(const std::string& key_hash) const;
    void send(const std::string& address, message value);
    void on_link_open(const std::string& address, const link_ptr& link);
    void handle_reply(const link_ptr& link, const std::string& payload);
    void handle_request(const link_ptr& link, const std::string& payload);
    void finish(std::uint64_t query, std::optional<std::string> response_id, bool final);

    worker_pool& pool_;
    link_options options_;
    host_id self_;
    claim_settings settings_;
    metrics& counters_;
    mutable ranked_mutex mutex_{lock_rank::registry};
    view_ptr view_ = std::make_shared<view_snapshot>();
    request_registry registry_;
    std::map<std::string, peer> peers_;
    std::map<std::uint64_t, lookup> lookups_;
    std::uint64_t last_query_ = 0;
};

} // namespace anvillead
