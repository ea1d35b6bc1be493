#pragma once

#include <memory>

#include "node/node_context.h"

namespace anvillead {

/// Probes upstreams that this host may have no path to, so that a caller's request is never the one that finds out
/// whether the path is back.
class path_prober : public std::enable_shared_from_this<path_prober>
{
public:
    path_prober(node_context& context, std::shared_ptr<isequence> sequence);

    /// Called in each period.
    void probe_if_due();

private:
    void probe(const upstream_record& upstream);

    node_context& context_;
    std::shared_ptr<isequence> sequence_;
};

} // namespace anvillead
