#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "apps/common/agent_link.h"
#include "apps/gateway/claim_settings.h"
#include "claims/request_registry.h"

namespace anvillead {

/// The registry of idempotent requests at the two highest gateways in rendezvous order for a key, this one included.
/// Entries are lost with their gateways; then a repeated request runs again, which it allows.
class registry_links
{
public:
    registry_links(worker_pool& pool, link_options options, host_id self, const claim_settings& settings,
                   metrics& counters);

    void apply_view(const view_ptr& view);
    /// For the link server of this gateway: answers the other gateways.
    link_handlers server_handlers();

    void put(const std::string& key_hash, const std::string& response_id);
    /// `callback` gets nothing when no gateway knows the key or answers in time. It may run before look_up() returns.
    void look_up(const std::string& key_hash, std::function<void(std::optional<std::string>)> callback);

private:
    struct peer
    {
        std::shared_ptr<ilink_client> client;
        /// Messages that wait for the link to open.
        std::vector<std::string> outbox;
    };

    struct lookup
    {
        std::function<void(std::optional<std::string>)> callback;
        std::size_t unanswered = 0;
        timer_token timer = 0;
    };

    /// Addresses of the responsible gateways; empty text stands for this one.
    std::vector<std::string> owners_of(const std::string& key_hash) const;
    void send(const std::string& address, message value);
    void opened(const std::string& address, const link_ptr& link);
    void answered(const link_ptr& link, const std::string& payload);
    void asked(const link_ptr& link, const std::string& payload);
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
