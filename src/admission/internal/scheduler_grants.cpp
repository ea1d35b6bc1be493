#include "admission/scheduler_core.h"

#include <algorithm>
#include <utility>

namespace anvillead {

namespace {

constexpr milliseconds observe_period{100};
// Silence of a grant that has not been reported yet is not counted.
constexpr milliseconds no_silence{0};
constexpr double assumed_limit = 32'000;
// A report that is later than this shows that the link is disturbed, not how much was generated since.
constexpr milliseconds longest_growth{1000};

/// Memory of a generation now: tokens generated since its last report are expected at the engine's pace. Without them,
/// reports every 500 ms instead of 100 ms raised the preemptions of scenario shift by 27 and 64 % (two deployments).
memory_footprint expected_footprint(instant now, const granted& value, double gap_ms)
{
    auto out = value.footprint;
    if (value.acknowledged && gap_ms > 0) {
        const auto passed = std::min<instant::duration>(now - value.reported, longest_growth);
        out.produced += std::chrono::duration<double, std::milli>(passed).count() / gap_ms;
        out.produced = std::max(value.footprint.produced, std::min(out.produced, out.limit));
    }
    return out;
}

} // namespace

void scheduler_core::start(granted value)
{
    auto& engine = engines_.at(value.engine);
    auto& group = group_of(engine.service);
    value.service = engine.service;
    ++engine.running;
    if (value.served == work_class::urgent) {
        ++engine.urgent;
        ++group.urgent[value.length.organisation];
        ++group.urgent_total;
    }
    ++group.running[value.length.organisation];
    group.share.expect(value.length.organisation, value.expected);
    grants_.add(std::move(value));
}

void scheduler_core::release(const grant_id& id)
{
    const granted* known = grants_.find(id);
    if (known == nullptr) {
        return;
    }
    const auto& organisation = known->length.organisation;
    const bool urgent = known->served == work_class::urgent;
    const auto engine = engines_.find(known->engine);
    if (engine != engines_.end()) {
        --engine->second.running;
        engine->second.orphaned -= known->orphaned ? 1 : 0;
        engine->second.urgent -= urgent ? 1 : 0;
    }
    auto& group = group_of(known->service);
    if (urgent) {
        --group.urgent_total;
        if (--group.urgent[organisation] <= 0) {
            group.urgent.erase(organisation);
        }
    }
    if (--group.running[organisation] <= 0) {
        group.running.erase(organisation);
    }
    group.share.expect(organisation, -known->expected);
    group.share.leave(organisation);
    grants_.remove(id);
}

void scheduler_core::adopt(instant now, const gateway_identity& gateway, const grant_progress& value)
{
    const auto engine = engines_.find(value.engine);
    if (value.state != grant_state::running || engine == engines_.end()) {
        return;
    }
    granted entry;
    entry.id = value.id;
    entry.gateway = gateway;
    entry.request = value.request;
    entry.engine = value.engine;
    entry.length = {value.organisation, value.workload, value.model};
    entry.served = value.urgency;
    const auto* kind = configuration_.find_workload(value.workload);
    const bool limited = kind != nullptr && kind->output_limit.count > 0;
    entry.footprint = {static_cast<double>(value.input.count), static_cast<double>(value.output.count),
                       limited ? static_cast<double>(kind->output_limit.count) : assumed_limit};
    const auto& curve = lengths_.curve(entry.length);
    entry.expected = curve.remaining(entry.footprint.produced, entry.footprint.limit).mean;
    entry.made = now;
    entry.acknowledged = true;
    entry.reported = now;
    engine->second.forecast.add(entry.footprint, curve);
    engine->second.firm.add(entry.footprint, curve);
    group_of(engine->second.service).share.enter(value.organisation, false);
    start(std::move(entry));
}

void scheduler_core::update(instant now, const gateway_identity& gateway, const grant_progress& value)
{
    granted* known = grants_.find(value.id);
    if (known == nullptr) {
        adopt(now, gateway, value);
        return;
    }
    // The time up to the first report is not decoding time, unless nothing else is known of the grant.
    const bool first = !std::exchange(known->acknowledged, true);
    const bool judged = !first || value.state != grant_state::running;
    const auto since = first ? known->made : known->reported;
    known->reported = now;
    limiter_.adjust_request(now, known->length.organisation, std::exchange(known->uncharged, 0));
    known->silent = value.silent;
    const auto engine = engines_.find(known->engine);
    if (engine == engines_.end()) {
        return;
    }
    if (known->gateway != gateway) {
        grants_.rebind(*known, gateway);
    }
    if (judged) {
        engine->second.delivered_ms += std::chrono::duration<double, std::milli>(now - since).count();
    }
    // The gateway's link is open again, or its caller resumed through another gateway.
    engine->second.orphaned -= std::exchange(known->orphaned, false) ? 1 : 0;
    auto& group = group_of(engine->second.service);
    const double produced = static_cast<double>(value.output.count);
    const double change = produced - known->footprint.produced;
    // An output cut off at its limit does not show its length.
    const bool ended = value.state == grant_state::finished && produced > 0 && produced < known->footprint.limit;
    if (change > 0 || ended) {
        const auto before = static_cast<std::int64_t>(known->footprint.produced);
        lengths_.learn(known->length, {before}, {std::max(before, value.output.count)}, ended);
    }
    if (change > 0) {
        known->footprint.produced = produced;
        const double covered = std::min(change, known->expected);
        known->expected -= covered;
        group.share.expect(known->length.organisation, -covered);
        group.share.charge(known->length.organisation, change);
        limiter_.charge(now, known->length.organisation, change);
        engine->second.delivered += judged ? change : 0;
        group.delivered += change;
    }
    if (value.state == grant_state::lost) {
        engine->second.health.lost(now);
        placement_.engine_lost(known->engine);
        // Not left to the next observation: the gateway asks again at once.
        engine->second.gone = true;
        engine->second.usable = false;
    }
    if (value.state != grant_state::running) {
        release(value.id);
    }
}

void scheduler_core::expire_grants(instant now)
{
    for (const auto& id : grants_.ids_if(
             [&](const granted& it) { return !it.acknowledged && now - it.made > options_.acknowledge_within; })) {
        release(id);
    }
}

void scheduler_core::drop_gone_orphans(engine_state& engine)
{
    int gone = std::min(engine.orphaned, -engine.unknown.difference());
    if (gone <= 0) {
        return;
    }
    auto ids = grants_.ids_if([&](const granted& it) { return it.orphaned && it.engine == engine.settings.id; });
    for (const auto& id : ids) {
        if (gone-- <= 0) {
            break;
        }
        release(id);
    }
}

void scheduler_core::rebuild(instant now, engine_state& engine, const std::vector<granted*>& grants)
{
    engine.forecast.clear();
    engine.firm.clear();
    int acknowledged = 0;
    auto silence = milliseconds::max();
    for (const auto* it : grants) {
        const auto& curve = lengths_.curve(it->length);
        const auto footprint = expected_footprint(now, *it, engine.health.gap_ms());
        engine.forecast.add(footprint, curve);
        if (!it->gives_way) {
            engine.firm.add(footprint, curve);
        }
        acknowledged += it->acknowledged ? 1 : 0;
        silence = std::min(silence, it->acknowledged && !it->orphaned ? it->silent : no_silence);
    }
    engine.unknown.record(now, engine.forecast.current(), acknowledged);
    engine.health.observe(engine.delivered, engine.delivered_ms, acknowledged, grants.empty() ? no_silence : silence);
    engine.delivered = 0;
    engine.delivered_ms = 0;
    engine.gone = engine.leaving || engine.load.leaving || !engine.unknown.reported() ||
                  engine.health.lost_since(engine.unknown.taken());
    engine.usable = !engine.gone && engine.health.usable(now, engine.unknown.taken(), engine.running);
}

void scheduler_core::observe(instant now)
{
    if (observed_ != instant{} && now - observed_ < observe_period) {
        return;
    }
    observed_ = now;
    if (now >= cautious_until_) {
        end_caution();
    }
    lengths_.refresh();
    std::map<upstream_id, std::vector<granted*>> by_engine;
    for (auto& [id, it] : grants_.all()) {
        by_engine[it.engine].push_back(&it);
    }
    for (auto& [id, it] : engines_) {
        rebuild(now, it, by_engine[id]);
    }
    for (auto& [name, group] : groups_) {
        group.observe_absence(now);
        group.observe_slots(now);
        const auto waiting = static_cast<int>(group.queue.size(work_class::urgent));
        group.reserve.observe(now, group.urgent_total + std::min(waiting, group.urgent_total));
        group.drain.delivered(now, group.delivered, group.queue.size() > 0, group.assumed_rate());
        group.delivered = 0;
        placement_.assign_short(group.engines, group.reserve.slots());
    }
}

} // namespace anvillead
