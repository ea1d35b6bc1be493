#pragma once

#include <deque>
#include <map>
#include <memory>

#include "admission/ischeduler_core.h"

namespace anvillead {

/// Grants in order of urgency, then arrival, on the engine with the fewest running grants.
class scheduler_core : public ischeduler_core
{
public:
    /// `process` makes grant ids of two processes differ.
    explicit scheduler_core(std::string process) : process_(std::move(process)) {}

    scheduler_actions on_configuration(instant now, const document& value,
                                       const std::vector<upstream_id>& owned) override;
    scheduler_actions on_leaving(instant now, const std::vector<upstream_id>& leaving) override;
    scheduler_actions on_request(instant now, const gateway_identity& gateway, const grant_request& value) override;
    scheduler_actions on_cancel(instant now, const gateway_identity& gateway, const request_id& request) override;
    scheduler_actions on_progress(instant now, const gateway_identity& gateway, const progress_report& value) override;
    scheduler_actions on_gateway_lost(instant now, const gateway_identity& gateway) override;
    scheduler_actions on_load(instant now, const engine_load& value) override;
    scheduler_actions on_tick(instant now) override;

private:
    struct engine
    {
        upstream settings;
        service_name service;
        bool leaving = false;
        engine_load load;
        int running = 0;
    };

    struct waiting
    {
        gateway_identity gateway;
        grant_request request;
        instant since;
    };

    struct running
    {
        gateway_identity gateway;
        request_id request;
        upstream_id engine;
    };

    scheduler_actions admit(instant now);
    engine* choose(const grant_request& request);
    void release(const grant_id& id);

    std::string process_;
    std::uint64_t last_grant_ = 0;
    std::map<upstream_id, engine> engines_;
    std::array<std::deque<waiting>, work_class_names.size()> queues_;
    std::map<grant_id, running> grants_;
};

} // namespace anvillead
