#include "admission/scheduler_core.h"

#include <algorithm>

#include "routing/rendezvous.h"

namespace anvillead {

scheduler_core::scheduler_core(scheduler_options options) : options_(std::move(options)), placement_(options_.placement)
{}

engine_group& scheduler_core::group_of(const service_name& name)
{
    return groups_.try_emplace(name, options_.seed).first->second;
}

void scheduler_core::adopt_engines(instant now, const std::vector<upstream_id>& owned)
{
    std::map<upstream_id, engine_state> engines;
    for (const auto& it : configuration_.services) {
        for (const auto& candidate : it.upstreams) {
            if (it.kind != service_kind::engine || std::find(owned.begin(), owned.end(), candidate.id) == owned.end()) {
                continue;
            }
            const auto known = engines_.find(candidate.id);
            auto& entry = engines[candidate.id];
            if (known != engines_.end()) {
                entry = std::move(known->second);
            } else {
                entry.in_takeover = true;
                takeover_ends_ = now + options_.takeover_timeout;
            }
            entry.settings = candidate;
            entry.service = it.name;
        }
    }
    engines_ = std::move(engines);
    for (auto& [name, group] : groups_) {
        // The new engines have had no time to report, so an earlier outage does not count.
        if (group.engines.empty()) {
            group.outage_start.reset();
        }
        group.engines.clear();
    }
    for (auto& [id, it] : engines_) {
        group_of(it.service).engines.push_back(&it);
    }
}

double scheduler_core::limit_share(const std::vector<upstream_id>& owned) const
{
    const std::set<upstream_id> own(owned.begin(), owned.end());
    std::size_t all = 0;
    std::size_t mine = 0;
    for (const auto& it : configuration_.services) {
        const bool used = std::any_of(configuration_.workloads.begin(), configuration_.workloads.end(),
                                      [&](const workload& at) { return at.target == it.name; });
        if (it.kind != service_kind::engine || !used) {
            continue;
        }
        for (const auto& group : partition_into_cells(it)) {
            ++all;
            mine += own.count(group.engines.front());
        }
    }
    // A scheduler without cells gets requests only from gateways whose view is older or newer than its own. It counts
    // as having one cell.
    return static_cast<double>(std::max<std::size_t>(mine, 1)) / static_cast<double>(std::max<std::size_t>(all, 1));
}

void scheduler_core::apply_organisations(instant now, const std::vector<upstream_id>& owned)
{
    const double share = limit_share(owned);
    for (const auto& it : configuration_.organisations) {
        limiter_.configure(now, it.id, it.limits, share);
        for (auto& [name, group] : groups_) {
            group.share.set_weight(it.id, it.weight);
        }
    }
}

scheduler_actions scheduler_core::on_configuration(instant now, const document& value,
                                                   const std::vector<upstream_id>& owned)
{
    configuration_ = value;
    for (const auto& it : value.services) {
        if (it.kind == service_kind::engine) {
            group_of(it.name);
        }
    }
    adopt_engines(now, owned);
    apply_organisations(now, owned);
    // Another scheduler is now responsible for the grants on engines that moved to it.
    for (const auto& id : grants_.ids_if([&](const grant_record& it) { return engines_.count(it.engine) == 0; })) {
        release_grant(id);
    }
    if (!engines_.empty() && reported_.size() >= gateway_count_ && gateway_count_ > 0) {
        end_takeover();
    }
    return on_tick(now);
}

scheduler_actions scheduler_core::on_leaving(instant now, const std::vector<upstream_id>& leaving)
{
    for (auto& [id, it] : engines_) {
        it.leaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    }
    return on_tick(now);
}

void scheduler_core::on_gateway_count(std::size_t count)
{
    gateway_count_ = count;
}

void scheduler_core::end_takeover()
{
    for (auto& [id, it] : engines_) {
        it.in_takeover = false;
    }
    reported_.clear();
}

scheduler_actions scheduler_core::on_request(instant now, const gateway_identity& gateway, const grant_request& value)
{
    scheduler_actions actions;
    auto& group = group_of(value.service);
    // A gateway repeats its waiting requests after its link was re-established.
    if (group.queue.contains(gateway, value)) {
        return actions;
    }
    enqueue(now, gateway, value, actions);
    if (value.urgency != work_class::draft) {
        admit(now, group, value.urgency, actions);
    }
    return actions;
}

scheduler_actions scheduler_core::on_cancel(instant now, const gateway_identity& gateway, const grant_cancel& value)
{
    for (auto& [name, group] : groups_) {
        const auto cancelled = group.queue.take_if(
            [&](const queued_request& it) { return it.gateway == gateway && it.request.id == value.request; });
        for (const auto& it : cancelled) {
            group.share.remove_request(it.request.organisation);
            if (value.granted_elsewhere) {
                refund_request(now, it.request);
            }
        }
    }
    if (const auto* known = grants_.find(gateway, value.request)) {
        const double change = value.granted_elsewhere ? known->uncharged - 1 : known->uncharged;
        limiter_.adjust_request(now, known->length.organisation, change);
        release_grant(grant_id(known->id));
    }
    return on_tick(now);
}

scheduler_actions scheduler_core::on_progress(instant now, const gateway_identity& gateway,
                                              const progress_report& value)
{
    for (const auto& it : value.grants) {
        update_grant(now, gateway, it);
    }
    if (!value.complete) {
        const bool ended = std::any_of(value.grants.begin(), value.grants.end(),
                                       [](const grant_progress& it) { return it.state != grant_state::running; });
        return ended ? on_tick(now) : scheduler_actions();
    }
    std::set<grant_id> listed;
    for (const auto& it : value.grants) {
        listed.insert(it.id);
    }
    // A complete report lists all running grants of the gateway; other acknowledged grants have ended.
    for (const auto& id : grants_.ids_if([&](const grant_record& it) {
             return it.gateway == gateway && it.acknowledged && listed.count(it.id) == 0;
         })) {
        release_grant(id);
    }
    reported_.insert(gateway);
    if (gateway_count_ > 0 && reported_.size() >= gateway_count_) {
        end_takeover();
    }
    return on_tick(now);
}

scheduler_actions scheduler_core::on_gateway_lost(instant now, const gateway_identity& gateway)
{
    for (auto& [name, group] : groups_) {
        for (const auto& it : group.queue.take_if([&](const queued_request& at) { return at.gateway == gateway; })) {
            group.share.remove_request(it.request.organisation);
        }
    }
    for (auto& [id, it] : grants_.all()) {
        const auto engine = engines_.find(it.engine);
        if (it.gateway == gateway && !it.orphaned && engine != engines_.end()) {
            it.orphaned = true;
            ++engine->second.orphaned;
        }
    }
    reported_.erase(gateway);
    return on_tick(now);
}

scheduler_actions scheduler_core::on_load(instant now, const engine_load& value)
{
    const auto it = engines_.find(value.engine);
    if (it != engines_.end()) {
        it->second.load = value;
        placement_.observe_load(now, value);
        it->second.external.report(now, value);
        release_ended_orphans(it->second);
        it->second.external_running = std::max(0, it->second.external.running_difference());
    }
    return {};
}

scheduler_actions scheduler_core::on_tick(instant now)
{
    scheduler_actions actions;
    expire_queue(now, actions);
    expire_grants(now);
    observe_engines(now);
    for (auto& [name, group] : groups_) {
        for (const auto served : {work_class::urgent, work_class::normal, work_class::draft}) {
            admit(now, group, served, actions);
        }
    }
    return actions;
}

scheduler_statistics scheduler_core::figures() const
{
    scheduler_statistics out;
    for (const auto& [name, group] : groups_) {
        for (std::size_t i = 0; i < out.waiting.size(); ++i) {
            out.waiting[i] += group.queue.size(static_cast<work_class>(i));
        }
        out.urgent_slots += static_cast<std::size_t>(group.reserve.slots());
    }
    out.grants = grants_.all().size();
    out.engines = engines_.size();
    for (const auto& [id, it] : engines_) {
        out.orphaned += static_cast<std::size_t>(it.orphaned);
        out.usable_engines += it.usable ? 1 : 0;
        out.short_engines += it.short_batch ? 1 : 0;
    }
    return out;
}

} // namespace anvillead
