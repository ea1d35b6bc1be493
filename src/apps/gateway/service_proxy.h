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

/// Handles `ANY /services/{service}/{path}`: validates calls to plain services and balances them over the upstreams.
class service_proxy
{
public:
    /// `report_leaving` notifies the agent of an upstream that reports that it is leaving.
    service_proxy(gateway_context& context, std::function<void(const upstream_id&)> report_leaving);

    void handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange);
    /// Applies a change of the configuration or of the set of leaving upstreams.
    void apply_view(const view_ptr& view);
    /// Requests load reports from the upstreams of services in use.
    void poll_loads();

    std::optional<upstream> choose(const service_name& target, const std::vector<upstream_id>& excluded);
    /// Returns whether the service has an upstream that is not in `excluded`.
    bool has_other_upstream(const service_name& target, const std::vector<upstream_id>& excluded) const;
    void on_call_finished(const service_name& target, const upstream_id& id, service_balancer::outcome outcome);

private:
    struct upstream_pool
    {
        service_balancer balancer;
        std::vector<upstream> upstreams;
        instant last_used_at{};
    };

    void poll(const service_name& target, const upstream& value);
    void handle_load_report(const service_name& target, const upstream_id& id, const http_response& answer);

    gateway_context& context_;
    std::function<void(const upstream_id&)> report_leaving_;
    std::shared_ptr<isequence> sequence_;
    mutable ranked_mutex mutex_{lock_rank::streams};
    std::map<service_name, upstream_pool> pools_;
    /// Upstreams whose load report is outstanding. Accessed on the sequence only.
    std::set<upstream_id> polls_in_flight_;
};

} // namespace anvillead
