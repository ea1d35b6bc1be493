#pragma once

#include <map>
#include <memory>
#include <set>

#include "admission/engine_group.h"
#include "admission/grant_table.h"
#include "admission/ischeduler_core.h"
#include "admission/organisation_limiter.h"

namespace anvillead {

/// Scheduler that combines the length model, memory forecasts, fair queueing, limits and engine states.
class scheduler_core : public ischeduler_core
{
public:
    explicit scheduler_core(scheduler_options options);

    scheduler_actions on_configuration(instant now, const document& value,
                                       const std::vector<upstream_id>& owned) override;
    scheduler_actions on_leaving(instant now, const std::vector<upstream_id>& leaving) override;
    void on_gateway_count(std::size_t count) override;
    scheduler_actions on_request(instant now, const gateway_identity& gateway, const grant_request& value) override;
    scheduler_actions on_cancel(instant now, const gateway_identity& gateway, const grant_cancel& value) override;
    scheduler_actions on_progress(instant now, const gateway_identity& gateway, const progress_report& value) override;
    scheduler_actions on_gateway_lost(instant now, const gateway_identity& gateway) override;
    scheduler_actions on_load(instant now, const engine_load& value) override;
    scheduler_actions on_tick(instant now) override;
    scheduler_statistics figures() const override;

private:
    engine_group& group_of(const service_name& name);
    void apply_organisations(instant now, const std::vector<upstream_id>& owned);
    /// The fraction of each organisation's limits that this scheduler applies: its fraction of the cells of all engine
    /// services that workloads use. A request that one scheduler refuses for its share may still be granted by the
    /// other scheduler that was asked.
    double limit_share(const std::vector<upstream_id>& owned) const;
    void adopt_engines(instant now, const std::vector<upstream_id>& owned);
    void end_takeover();

    void enqueue(instant now, const gateway_identity& gateway, const grant_request& value, scheduler_actions& actions);
    /// Refunds the fraction of the limit charged for a request on arrival if another scheduler may still grant it.
    void refund_request(instant now, const grant_request& value);
    /// The refusal of a new request that must not be queued, if any.
    std::optional<refusal> early_refusal(instant now, engine_group& group, const grant_request& value, double expected);
    /// Refuses the queued requests once an outage has lasted for `scheduler_options::outage_timeout`.
    void refuse_without_engines(instant now, engine_group& group, scheduler_actions& actions);
    bool in_outage(instant now, const engine_group& group) const;
    /// Predicted remaining duration of an outage in seconds.
    static double predicted_outage_s(instant now, const engine_group& group);
    void enforce_queue_limit(instant now, engine_group& group, scheduler_actions& actions);
    void expire_queue(instant now, scheduler_actions& actions);

    void admit(instant now, engine_group& group, work_class served, scheduler_actions& actions);
    std::vector<std::pair<double, organisation_id>> candidates(const engine_group& group, work_class served) const;
    bool over_urgent_limit(const engine_group& group, const organisation_id& id) const;
    /// Chooses an engine for a request that fits on none by the forecast: one where preemptible drafts use the memory
    /// and the group's budget covers the expected preemptions. Null if there is none.
    engine_state* choose_with_preemption(instant now, engine_group& group, work_class served,
                                         const grant_request& request, const length_curve& curve,
                                         required_headroom headroom);
    bool grant_first(instant now, engine_group& group, work_class served, const organisation_id& id,
                     scheduler_actions& actions);

    void update_grant(instant now, const gateway_identity& gateway, const grant_progress& value);
    void adopt_grant(instant now, const gateway_identity& gateway, const grant_progress& value);
    void start_grant(grant_record value);
    void release_grant(const grant_id& id);
    void expire_grants(instant now);
    void release_ended_orphans(engine_state& engine);
    void observe_engines(instant now);
    void rebuild_engine(instant now, engine_state& engine, const std::vector<grant_record*>& grants);

    scheduler_options options_;
    placement placement_;
    document configuration_;
    length_model lengths_;
    organisation_limiter limiter_;
    std::uint64_t last_grant_ = 0;
    std::map<upstream_id, engine_state> engines_;
    std::map<service_name, engine_group> groups_;
    grant_table grants_;
    std::size_t gateway_count_ = 0;
    std::set<gateway_identity> reported_;
    instant takeover_ends_{};
    instant observed_{};
};

} // namespace anvillead
