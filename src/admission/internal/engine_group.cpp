#include "admission/engine_group.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr double urgent_fraction = 0.25;
constexpr int min_urgent_limit = 4;
// Assumed throughput of an engine in tokens per second until the group's throughput is known.
constexpr double assumed_engine_rate = 1000;
// Excess over the virtual time, in seconds of the group's throughput, above which an organisation is over its share.
// Organisations that all have a backlog stay close to the virtual time.
constexpr double over_share_s = 10;
// The same for `far_over_share`. With 10 s, drafts were preempted in scenarios without a flood, for organisations that
// exceeded their share by chance.
constexpr double far_over_share_s = 30;
// Time for which an organisation counts as active after its last request.
constexpr seconds activity_window{5};

} // namespace

int engine_group::urgent_limit(const organisation_id& id, const organisation* settings) const
{
    if (settings != nullptr && settings->limits.concurrent_urgent > 0) {
        return settings->limits.concurrent_urgent;
    }
    const double part = share.weight(id) / std::max(share.active_weight(), share.weight(id));
    return std::max(min_urgent_limit, static_cast<int>(slots * urgent_fraction * part));
}

bool engine_group::over_slot_share(const organisation_id& id) const
{
    const auto it = running.find(id);
    const double own = share.weight(id);
    return it != running.end() && recent_weight > own && it->second * recent_weight >= slots * own;
}

void engine_group::observe_slots(instant now)
{
    slots = 0;
    for (const auto* it : engines) {
        slots += it->usable ? it->settings.batch_limit : 0;
    }
    recent_weight = 0;
    for (auto it = last_request.begin(); it != last_request.end();) {
        if (now - it->second > activity_window && running.count(it->first) == 0 && queue.size(it->first) == 0) {
            it = last_request.erase(it);
            continue;
        }
        recent_weight += share.weight(it->first);
        ++it;
    }
}

void engine_group::observe_outage(instant now)
{
    if (std::any_of(engines.begin(), engines.end(), [](const engine_state* it) { return !it->out_of_service; })) {
        outage_start.reset();
    } else if (!outage_start) {
        outage_start = now;
    }
}

double engine_group::outage_s(instant now) const
{
    return outage_start ? std::chrono::duration<double>(now - *outage_start).count() : 0;
}

double engine_group::assumed_rate() const
{
    return assumed_engine_rate * static_cast<double>(engines.size());
}

double engine_group::excess_tokens(const organisation_id& id) const
{
    return share.excess(id) * share.active_weight();
}

bool engine_group::over_share(const organisation_id& id) const
{
    return excess_tokens(id) > over_share_s * retry_estimator.rate(assumed_rate());
}

bool engine_group::far_over_share(const organisation_id& id) const
{
    return excess_tokens(id) > far_over_share_s * retry_estimator.rate(assumed_rate());
}

double engine_group::predicted_wait_s(const organisation_id& id, work_class urgency, double added) const
{
    const double rate = retry_estimator.rate(assumed_rate());
    const double weights = std::max(share.active_weight(), share.weight(id));
    return (queue.backlog(id, urgency) + added) / std::max(1.0, rate * share.weight(id) / weights);
}

} // namespace anvillead
