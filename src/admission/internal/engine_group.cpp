#include "admission/engine_group.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr double urgent_part = 0.25;
constexpr int smallest_urgent_limit = 4;
// Assumed tokens per second of an engine until the group's rate is known.
constexpr double assumed_engine_rate = 1000;
// Lead over the virtual time, in seconds of the group's rate, from which an organisation is ahead. Organisations that
// all have a backlog stay close to the virtual time.
constexpr double lead_s = 10;
// The same for `far_ahead`. At 10 s, organisations that got ahead by chance had drafts preempted in scenarios without a
// flood.
constexpr double far_lead_s = 30;
// An organisation between two requests still counts as active for this time.
constexpr seconds activity_time{5};

} // namespace

int engine_group::urgent_limit(const organisation_id& id, const organisation* settings) const
{
    if (settings != nullptr && settings->limits.concurrent_urgent > 0) {
        return settings->limits.concurrent_urgent;
    }
    const double part = share.weight(id) / std::max(share.active_weight(), share.weight(id));
    return std::max(smallest_urgent_limit, static_cast<int>(slots * urgent_part * part));
}

bool engine_group::over_slots(const organisation_id& id) const
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
    for (auto it = active.begin(); it != active.end();) {
        if (now - it->second > activity_time && running.count(it->first) == 0 && queue.size(it->first) == 0) {
            it = active.erase(it);
            continue;
        }
        recent_weight += share.weight(it->first);
        ++it;
    }
}

void engine_group::observe_absence(instant now)
{
    if (std::any_of(engines.begin(), engines.end(), [](const engine_state* it) { return !it->gone; })) {
        absent_since.reset();
    } else if (!absent_since) {
        absent_since = now;
    }
}

double engine_group::absent_s(instant now) const
{
    return absent_since ? std::chrono::duration<double>(now - *absent_since).count() : 0;
}

double engine_group::assumed_rate() const
{
    return assumed_engine_rate * static_cast<double>(engines.size());
}

double engine_group::lead_tokens(const organisation_id& id) const
{
    return share.lead(id) * share.active_weight();
}

bool engine_group::ahead(const organisation_id& id) const
{
    return lead_tokens(id) > lead_s * drain.rate(assumed_rate());
}

bool engine_group::far_ahead(const organisation_id& id) const
{
    return lead_tokens(id) > far_lead_s * drain.rate(assumed_rate());
}

double engine_group::predicted_wait_s(const organisation_id& id, work_class urgency, double added) const
{
    const double rate = drain.rate(assumed_rate());
    const double weights = std::max(share.active_weight(), share.weight(id));
    return (queue.backlog(id, urgency) + added) / std::max(1.0, rate * share.weight(id) / weights);
}

} // namespace anvillead
