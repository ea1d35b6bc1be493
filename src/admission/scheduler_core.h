#pragma once

#include <map>
#include <memory>
#include <set>

#include "admission/engine_group.h"
#include "admission/grant_table.h"
#include "admission/ischeduler_core.h"
#include "admission/organisation_limiter.h"

namespace anvillead {

/// Joins the length model, the memory forecast, the fair queue, the limits and the engine states into decisions.
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
    scheduler_figures figures() const override;

private:
    engine_group& group_of(const service_name& name);
    void apply_organisations(instant now, const std::vector<upstream_id>& owned);
    /// The part of each organisation's limits that this scheduler applies: its part of the cells of the engine services
    /// that workloads use. Requests that one scheduler refuses for its part may still be granted by the other one
    /// asked.
    double limit_share(const std::vector<upstream_id>& owned) const;
    void adopt_engines(instant now, const std::vector<upstream_id>& owned);
    void end_caution();

    void enqueue(instant now, const gateway_identity& gateway, const grant_request& value, scheduler_actions& actions);
    /// Gives back the part of the limit that a request took on arrival, when another scheduler may still grant it.
    void uncharge(instant now, const grant_request& value);
    /// The reason to refuse a new request at once, if there is one.
    std::optional<refusal> early_refusal(instant now, engine_group& group, const grant_request& value, double expected);
    /// Refuses what waits for engines that have been gone for `scheduler_options::absence`.
    void refuse_unserved(instant now, engine_group& group, scheduler_actions& actions);
    bool absent(instant now, const engine_group& group) const;
    /// Seconds after which engines that are gone may be back.
    static double predicted_absence_s(instant now, const engine_group& group);
    void make_room(instant now, engine_group& group, scheduler_actions& actions);
    void expire_queue(instant now, scheduler_actions& actions);

    void admit(instant now, engine_group& group, work_class served, scheduler_actions& actions);
    std::vector<std::pair<double, organisation_id>> candidates(const engine_group& group, work_class served) const;
    bool over_urgent_limit(const engine_group& group, const organisation_id& id) const;
    /// The engine for a request that no engine has room for by the forecast, where drafts that give way hold the memory
    /// and the group's budget covers the preemptions. Null when there is none.
    engine_state* push_aside(instant now, engine_group& group, work_class served, const grant_request& request,
                             const length_curve& curve, room_for_others room);
    bool grant_first(instant now, engine_group& group, work_class served, const organisation_id& id,
                     scheduler_actions& actions);

    void update(instant now, const gateway_identity& gateway, const grant_progress& value);
    void adopt(instant now, const gateway_identity& gateway, const grant_progress& value);
    void start(granted value);
    void release(const grant_id& id);
    void expire_grants(instant now);
    void drop_gone_orphans(engine_state& engine);
    void observe(instant now);
    void rebuild(instant now, engine_state& engine, const std::vector<granted*>& grants);

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
    instant cautious_until_{};
    instant observed_{};
};

} // namespace anvillead
