#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "node/collection_follower.h"
#include "node/evacuation_feed.h"
#include "node/node_context.h"
#include "node/state_exchange.h"

namespace anvillead {

/// Applies the platform's configuration and upstream directory on this host. Both are read from the platform itself or,
/// when this host does not follow it or gets no answer, from another host.
class platform_feed
{
public:
    /// The collections of the platform's store that are followed.
    struct sources
    {
        iobject_collection& configuration;
        iobject_collection& upstreams;
        /// Null if operators of this deployment do not evacuate availability zones.
        iobject_collection* evacuations = nullptr;
    };

    platform_feed(node_context& context, const sources& collections, std::function<void()> on_configuration);

    void start();
    /// Queries the platform again at once, after the process was suspended.
    void refresh();
    /// Called several times a second; ends what is held for some time only.
    void expire();
    /// Reads the configuration from the platform at once, also on a host that does not follow it. For one that knows of
    /// a newer version and does not get it.
    void fetch_configuration();
    std::string describe_evacuations() const { return evacuations_.describe(); }
    /// Applies the parts of another host's state that are newer than this host's.
    void apply_update(const state_update& value);
    /// Sets the hook that is called once for each return of the store from an older copy, after which what this system
    /// has written there is gone.
    void on_new_era(std::function<void()> hook) { on_new_era_ = std::move(hook); }
    /// Sets whether this host follows the platform itself or gets its state from other hosts that do.
    void set_following(bool value);
    bool following() const { return following_; }

    const platform_state& state() const { return state_; }
    config_generation configuration_version() const { return context_.routes ? context_.routes->version : 0; }
    /// This host follows the platform's upstream directory and its last call succeeded.
    bool connected() const { return following_ && upstream_follower_->connected(); }
    bool configuration_connected() const { return following_ && configuration_follower_->connected(); }
    /// The directory has been read at least once, or upstreams are known from a part of it and its end cannot be read.
    bool has_upstreams() const
    {
        return !state_.upstream_revision.unset() || (partly_listed_ && !context_.directory.entries().empty());
    }
    /// All that is needed to serve requests is known.
    bool complete() const { return context_.routes != nullptr && has_upstreams() && evacuations_.known(); }

private:
    void apply_configuration_items(const std::vector<collection_item>& items);
    /// `text` is the text of `object`, and `source` where it comes from, for the log.
    void apply_configuration(const nlohmann::json& object, std::string text, const std::string& source);
    void apply_upstream_part(const listing_part& part);
    void finish_upstream_listing(const std::set<std::string>& names);
    void update_upstreams(const std::vector<collection_item>& items);
    void apply_upstream(const collection_item& item, store_revision revision);
    /// Logs an entry that names no usable upstream, once.
    void report_rejected(const std::string& name, const error& problem);
    void begin_era(std::uint32_t era);
    void advance_upstream_revision(store_revision revision);
    collection_follower::hooks configuration_hooks();
    collection_follower::hooks upstream_hooks();

    node_context& context_;
    std::function<void()> on_configuration_;
    std::function<void()> on_new_era_;
    /// The latest era of the store that this host has seen; unset before the first listing.
    std::optional<std::uint32_t> era_;
    platform_state state_;
    /// Names of the entries that could not be parsed.
    std::set<std::string> rejected_entries_;
    bool following_ = true;
    bool partly_listed_ = false;
    /// While the configuration is read once: the version before, and when the reading is given up.
    config_generation fetched_after_ = 0;
    instant fetch_until_{};
    std::shared_ptr<collection_follower> configuration_follower_;
    std::shared_ptr<collection_follower> upstream_follower_;
    evacuation_feed evacuations_;
};

} // namespace anvillead
