#pragma once

#include <memory>
#include <set>
#include <vector>

#include "node/node_context.h"

namespace anvillead {

/// Asks engines themselves whether they leave while no host can read the directory.
///
/// The pattern it answers: engines are reclaimed with under two seconds of notice while the platform's store is down.
/// Without the notice all their generations are lost, though there would be time to move them. Each engine is asked by
/// one live host, which tells the others.
class engine_poller : public std::enable_shared_from_this<engine_poller>
{
public:
    engine_poller(node_context& context, std::shared_ptr<isequence> sequence);

    /// Called several times a second. `directory_known`: this host or another one follows the directory.
    void check(bool directory_known);
    /// Engines that said that they leave, since the directory was last known.
    const std::set<upstream_id>& leaving() const { return leaving_; }

private:
    std::vector<host_id> live_hosts() const;
    void ask(const upstream_record& engine);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
    std::set<upstream_id> leaving_;
    instant next_{};
};

} // namespace anvillead
