#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "node/node_context.h"

namespace anvillead {

/// Polls engines for their leaving notice while no host can watch the upstream directory.
///
/// Engines can be reclaimed with less than two seconds of notice while the platform's store is down. If the notice is
/// missed, all generations on them are lost although there is time to move them. Each engine is polled by one live
/// host, which reports the result to the others.
class engine_poller : public std::enable_shared_from_this<engine_poller>
{
public:
    engine_poller(node_context& context, std::shared_ptr<isequence> sequence);

    /// Sets the hook that returns the hosts that share the engines among themselves.
    void set_pollers(std::function<std::vector<host_id>()> hook) { pollers_ = std::move(hook); }
    /// Called several times a second; polls when the poll period has passed. With `directory_watched`, at least one
    /// host watches the directory and polling is not needed.
    void poll_if_due(bool directory_watched);
    /// Engines that announced that they are leaving since the directory was last watched.
    const std::set<upstream_id>& leaving() const { return leaving_; }

private:
    void poll(const upstream_record& engine);
    /// Polls of engines that have named a request rate are rarer.
    bool rate_allows(const upstream_id& engine);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::function<std::vector<host_id>()> pollers_;
    std::set<upstream_id> leaving_;
    instant next_poll_{};
    /// Last polls of engines that have named a request rate.
    std::map<upstream_id, instant> last_polls_;
};

} // namespace anvillead
