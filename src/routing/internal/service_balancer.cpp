#include "routing/service_balancer.h"

#include <algorithm>

namespace anvillead {

namespace {

// Weight of an upstream at the beginning of its slow start.
constexpr double initial_weight = 0.1;

bool contains(const std::vector<upstream_id>& list, const upstream_id& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

void service_balancer::configure(instant now, const std::vector<upstream_id>& pool,
                                 const std::vector<upstream_id>& leaving)
{
    const bool in_use = !pool_.empty();
    for (auto it = pool_.begin(); it != pool_.end();) {
        it = contains(pool, it->first) ? std::next(it) : pool_.erase(it);
    }
    for (const auto& id : pool) {
        auto [it, added] = pool_.try_emplace(id);
        auto& value = it->second;
        const bool is_leaving = contains(leaving, id);
        if ((added && in_use) || (value.view_leaving && !is_leaving)) {
            value.starts_slowly = true;
            value.started_at = now;
        }
        value.view_leaving = is_leaving;
    }
}

void service_balancer::on_load(instant now, const upstream_id& id, int running, bool leaving)
{
    const auto it = pool_.find(id);
    if (it == pool_.end()) {
        return;
    }
    auto& value = it->second;
    if (value.reported_leaving && !leaving) {
        value.starts_slowly = true;
        value.started_at = now;
    }
    value.reported_leaving = leaving;
    value.reported = running;
    value.outstanding_at_report = value.outstanding;
    value.reported_at = now;
}

double service_balancer::score(instant now, const state& value) const
{
    double work = value.outstanding;
    if (value.reported_at != instant{} && now - value.reported_at <= limits_.max_load_report_age) {
        // The reported number includes this gateway's calls at that time; only calls of other gateways are added.
        work += std::max(0, value.reported - value.outstanding_at_report);
    }
    double weight = 1;
    if (value.starts_slowly && now - value.started_at < limits_.slow_start) {
        const std::chrono::duration<double> age = now - value.started_at;
        const std::chrono::duration<double> ramp = limits_.slow_start;
        weight = std::max(initial_weight, age / ramp);
    }
    return (work + 1) / weight;
}

std::optional<upstream_id> service_balancer::choose(instant now, const std::vector<upstream_id>& excluded)
{
    auto* best = static_cast<std::pair<const upstream_id, state>*>(nullptr);
    auto* last_resort = best;
    double best_score = 0;
    // Upstreams with equal scores are chosen round-robin: each scan starts one position further.
    auto it = pool_.begin();
    std::advance(it, pool_.empty() ? 0 : static_cast<std::ptrdiff_t>(next_start_++ % pool_.size()));
    for (std::size_t n = 0; n < pool_.size(); ++n, ++it) {
        if (it == pool_.end()) {
            it = pool_.begin();
        }
        auto& value = it->second;
        if (value.reported_leaving || value.view_leaving || contains(excluded, it->first)) {
            continue;
        }
        if (value.ejected && now < value.ejected_until) {
            last_resort = last_resort == nullptr ? &*it : last_resort;
            continue;
        }
        const double current = score(now, value);
        if (best == nullptr || current < best_score) {
            best = &*it;
            best_score = current;
        }
    }
    // If all others are leaving or excluded, an ejected upstream is tried rather than failing the call.
    best = best == nullptr ? last_resort : best;
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->second.outstanding;
    return best->first;
}

bool service_balancer::on_end(instant now, const upstream_id& id, outcome value)
{
    const auto it = pool_.find(id);
    if (it == pool_.end()) {
        return false;
    }
    auto& target = it->second;
    target.outstanding = std::max(0, target.outstanding - 1);
    if (value == outcome::answered) {
        target.failures = 0;
        if (!target.ejected) {
            target.ejections = 0;
        }
        return false;
    }
    if (value == outcome::cancelled || ++target.failures < limits_.failures || target.ejected || !may_eject()) {
        return false;
    }
    target.failures = 0;
    target.ejected = true;
    target.ejections = std::min(target.ejections + 1, limits_.max_ejection_multiplier);
    target.ejected_until = now + limits_.ejection * target.ejections;
    return true;
}

bool service_balancer::may_eject() const
{
    const auto ejected = std::count_if(pool_.begin(), pool_.end(), [](const auto& it) { return it.second.ejected; });
    const auto share = static_cast<std::ptrdiff_t>(static_cast<double>(pool_.size()) * limits_.ejected_share);
    return pool_.size() > 1 && ejected < std::max<std::ptrdiff_t>(1, share);
}

std::vector<upstream_id> service_balancer::take_reinstated(instant now)
{
    std::vector<upstream_id> out;
    for (auto& [id, value] : pool_) {
        if (value.ejected && now >= value.ejected_until) {
            value.ejected = false;
            value.starts_slowly = true;
            value.started_at = now;
            out.push_back(id);
        }
    }
    return out;
}

} // namespace anvillead
