#pragma once

#include <map>
#include <vector>

#include "admission/length_model.h"
#include "admission/memory_forecast.h"
#include "admission/types/scheduler_action.h"

namespace anvillead {

/// State of a grant in its scheduler.
struct grant_record
{
    grant_id id;
    gateway_identity gateway;
    request_id request;
    upstream_id engine;
    service_name service;
    length_key length;
    /// Class in which the request is served; urgent requests over their limit are served as drafts.
    work_class served = work_class::normal;
    /// A draft that the engine preempts before all others. Unknown, hence false, for grants taken over from another
    /// scheduler.
    bool preemptible = false;
    memory_footprint footprint;
    /// Output tokens still expected, which count towards the organisation's share.
    double expected_tokens = 0;
    instant granted_at;
    /// Its gateway has reported progress.
    bool acknowledged = false;
    /// Fraction of the request that is charged to the organisation's limit once the gateway uses the grant.
    double uncharged = 0;
    /// Its gateway was lost; the engine may still run it.
    bool orphaned = false;
    milliseconds silent{0};
    /// Time of the last progress report.
    instant reported_at{};
};

/// Running grants, indexed by id and by request.
class grant_table
{
public:
    grant_record& add(grant_record value);
    grant_record* find(const grant_id& id);
    grant_record* find(const gateway_identity& gateway, const request_id& request);
    void remove(const grant_id& id);
    /// Assigns the grant to another gateway, through which its caller has resumed the stream.
    void assign_gateway(grant_record& value, const gateway_identity& gateway);
    const std::map<grant_id, grant_record>& all() const { return grants_; }
    std::map<grant_id, grant_record>& all() { return grants_; }

    template <typename Condition>
    std::vector<grant_id> ids_if(Condition condition) const;

private:
    using request_key = std::pair<gateway_identity, request_id>;

    std::map<grant_id, grant_record> grants_;
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
