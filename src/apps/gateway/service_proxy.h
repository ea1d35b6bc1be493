#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "apps/gateway/gateway_context.h"
#include "routing/service_balancer.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// `ANY /services/{service}/{path}`: checks calls to plain services and keeps the load of their upstreams.
class service_proxy
{
public:
    /// `report_leaving` tells the agent about an upstream that says it is leaving.
    service_proxy(gateway_context& context, std::function<void(const upstream_id&)> report_leaving);

    void handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange);
    /// Follows a change of configuration or of the leaving upstreams.
    void apply_view(const view_ptr& view);
    /// Asks the upstreams of services in use for their load.
    void poll_loads();

    std::optional<upstream> choose(const service_name& target, const std::vector<upstream_id>& excluded);
    /// True when the service has an upstream that is not in `excluded`.
    bool has_other(const service_name& target, const std::vector<upstream_id>& excluded) const;
    void finished(const service_name& target, const upstream_id& id, service_balancer::outcome outcome);

private:
    struct pool
    {
        service_balancer balancer;
        std::vector<upstream> upstreams;
        instant used_at{};
    };

    void poll(const service_name& target, const upstream& value);
    void loaded(const service_name& target, const upstream_id& id, const http_answer& answer);

    gateway_context& context_;
    std::function<void(const upstream_id&)> report_leaving_;
    std::shared_ptr<isequence> sequence_;
    mutable ranked_mutex mutex_{lock_rank::streams};
    std::map<service_name, pool> pools_;
    /// Upstreams whose load report has not arrived yet. Used on the sequence only.
    std::set<upstream_id> polled_;
};

} // namespace anvillead
