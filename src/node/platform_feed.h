#pragma once

#include <functional>
#include <memory>
#include <set>

#include "node/collection_follower.h"
#include "node/node_context.h"
#include "node/state_exchange.h"

namespace anvillead {

/// Brings what the platform says into force on this host: the configuration and the directory of upstreams, from the
/// platform itself or, when it does not answer, from another host.
class platform_feed
{
public:
    platform_feed(node_context& context, iobject_collection& configuration, iobject_collection& upstreams,
                  std::function<void()> on_configuration);

    void start();
    /// Asks the platform again at once, for a process that stood still.
    void refresh();
    /// Takes over what another host knows where it is newer.
    void adopt(const state_update& value);
    /// Whether this host follows the platform itself or relies on other hosts that do.
    void set_following(bool value);
    bool following() const { return following_; }

    const platform_state& state() const { return state_; }
    config_generation configuration_version() const { return context_.routes ? context_.routes->version : 0; }
    /// This host follows the directory at the platform.
    bool connected() const { return following_ && upstream_follower_->connected(); }
    bool configuration_connected() const { return following_ && configuration_follower_->connected(); }
    /// Whether the directory has been read at all.
    bool has_upstreams() const { return state_.upstream_revision != 0; }

private:
    void take_configuration(const std::vector<collection_item>& items);
    void apply_configuration(const nlohmann::json& object);
    void list_upstreams(const std::vector<collection_item>& items);
    void change_upstreams(const std::vector<collection_item>& items);
    void apply_upstream(const collection_item& item, std::uint64_t revision);
    void reach_upstream_revision(std::uint64_t revision);
    collection_follower::hooks configuration_hooks();
    collection_follower::hooks upstream_hooks();

    node_context& context_;
    std::function<void()> on_configuration_;
    platform_state state_;
    /// Entries that could not be read and were logged; by name.
    std::set<std::string> rejected_;
    bool following_ = true;
    std::shared_ptr<collection_follower> configuration_follower_;
    std::shared_ptr<collection_follower> upstream_follower_;
};

} // namespace anvillead
