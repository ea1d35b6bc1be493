#pragma once

#include <map>
#include <vector>

#include "admission/length_model.h"
#include "admission/memory_forecast.h"
#include "admission/types/scheduler_action.h"

namespace anvillead {

/// A grant as its scheduler knows it.
struct granted
{
    grant_id id;
    gateway_identity gateway;
    request_id request;
    upstream_id engine;
    service_name service;
    length_key length;
    /// Class in which it was served; urgent requests over their limit are served as drafts.
    work_class served = work_class::normal;
    /// A draft that the engine preempts before all others. Not known of grants taken over from another scheduler.
    bool gives_way = false;
    memory_footprint footprint;
    /// Output tokens that still count against the organisation's share.
    double expected = 0;
    instant made;
    /// Its gateway has reported progress.
    bool acknowledged = false;
    /// Part of the request that is charged to the organisation's limit once the gateway uses the grant.
    double uncharged = 0;
    /// Its gateway is gone; the engine may still run it.
    bool orphaned = false;
    milliseconds silent{0};
    /// When progress was last reported.
    instant reported{};
};

/// Running grants by id and by request.
class grant_table
{
public:
    granted& add(granted value);
    granted* find(const grant_id& id);
    granted* find(const gateway_identity& gateway, const request_id& request);
    void remove(const grant_id& id);
    /// The caller resumed its stream through another gateway.
    void rebind(granted& value, const gateway_identity& gateway);
    const std::map<grant_id, granted>& all() const { return grants_; }
    std::map<grant_id, granted>& all() { return grants_; }

    template <typename Condition>
    std::vector<grant_id> ids_if(Condition condition) const;

private:
    using request_key = std::pair<gateway_identity, request_id>;

    std::map<grant_id, granted> grants_;
    std::map<request_key, grant_id> by_request_;
};

template <typename Condition>
std::vector<grant_id> grant_table::ids_if(Condition condition) const
{
    std::vector<grant_id> out;
    for (const auto& [id, it] : grants_) {
        if (condition(it)) {
            out.push_back(id);
        }
    }
    return out;
}

} // namespace anvillead
