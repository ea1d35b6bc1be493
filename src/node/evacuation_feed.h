#pragma once

#include <functional>
#include <memory>
#include <set>

#include "dispatch/evacuation_list.h"
#include "node/collection_follower.h"
#include "node/node_context.h"

namespace anvillead {

/// Applies the operators' list of evacuated availability zones to the directory of this host. The list is read from the
/// platform itself or comes from another host.
class evacuation_feed
{
public:
    /// `source` is null if operators of this deployment do not evacuate zones; `on_change` receives each newer list,
    /// for the other hosts.
    evacuation_feed(node_context& context, iobject_collection* source,
                    std::function<void(const evacuation_state&)> on_change);

    void start();
    void refresh();
    void stop();
    /// Takes over the list of another host if it is newer.
    void apply(const evacuation_state& value);
    void expire();
    /// The evacuated zones with their upstreams, and the upstreams that are cold, as JSON for operators.
    std::string describe() const;
    /// The list has been read at least once, or only a part of it can be read, or there is none in this deployment.
    bool known() const { return !follower_ || known_ || partly_listed_; }

private:
    void read_part(const listing_part& part);
    void apply_listing();
    /// Puts the part of the list that can be read into force on this host, until it knows a complete one.
    void apply_incomplete_listing();
    void apply_changes(const std::vector<collection_item>& items);
    /// Puts the list into force and announces it.
    void publish();
    /// The zone that an entry names; logs an entry that names none.
    std::optional<zone_name> read_zone(const collection_item& item);
    /// Zones in which there are hosts or upstreams, as far as this host knows.
    std::set<zone_name> zones_in_use() const;
    void log_changes(const std::set<zone_name>& before, const std::set<zone_name>& after) const;
    collection_follower::hooks follower_hooks();

    node_context& context_;
    std::function<void(const evacuation_state&)> on_change_;
    evacuation_list list_;
    /// Null without a source.
    std::shared_ptr<collection_follower> follower_;
    bool following_ = true;
    bool known_ = false;
    bool partly_listed_ = false;
    /// Zones of the listing that is being read.
    std::set<zone_name> listing_;
};

} // namespace anvillead
