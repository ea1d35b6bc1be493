#include "routing/scheduler_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace anvillead {

namespace {

// Half-life of a recorded wait. Queues of a few seconds build up and clear quickly.
constexpr double half_life_ms = 2000;
// Weight of the latest wait in the moving average.
constexpr double smoothing_factor = 0.3;
// Assumed wait of an idle scheduler.
constexpr double idle_wait_ms = 5;
// A smaller recorded wait is treated as no observation.
constexpr double negligible_wait_ms = 1;
// Jitter of the cost, so that gateways with the same observations do not all choose the same scheduler.
constexpr double min_jitter = 0.8;
constexpr double max_jitter = 1.2;

template <typename Condition>
void filter_if_any_match(std::vector<scheduler_candidate>& candidates, Condition condition)
{
    if (std::any_of(candidates.begin(), candidates.end(), condition)) {
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), std::not_fn(condition)),
                         candidates.end());
    }
}

} // namespace

double scheduler_selector::scheduler_stats::recent_wait_ms(instant now) const
{
    const double age_ms = std::chrono::duration<double, std::milli>(now - updated).count();
    return wait_ms * std::exp2(-age_ms / half_life_ms);
}

void scheduler_selector::scheduler_stats::observe(instant now, double observed_ms)
{
    const double previous = recent_wait_ms(now);
    wait_ms = previous + smoothing_factor * (observed_ms - previous);
    updated = now;
}

std::vector<std::string> scheduler_selector::choose(instant now, std::vector<scheduler_candidate> candidates,
                                                    std::size_t count)
{
    filter_if_any_match(candidates, [](const scheduler_candidate& it) { return it.reachable; });
    filter_if_any_match(candidates, [](const scheduler_candidate& it) { return it.engines > 0; });
    std::vector<std::pair<double, std::string>> costs;
    costs.reserve(candidates.size());
    for (const auto& it : candidates) {
        costs.emplace_back(cost(now, it), it.address);
    }
    std::sort(costs.begin(), costs.end());
    std::vector<std::string> out;
    for (const auto& it : costs) {
        if (out.size() < count) {
            out.push_back(it.second);
        }
    }
    return out;
}

double scheduler_selector::cost(instant now, const scheduler_candidate& value)
{
    const double engines = std::max(1, value.engines);
    const auto it = stats_.find(value.address);
    const double wait_ms = it == stats_.end() ? 0 : it->second.recent_wait_ms(now);
    const int waiting = it == stats_.end() ? 0 : it->second.waiting;
    if (waiting == 0 && wait_ms < negligible_wait_ms) {
        // The minimum of exponentially distributed costs is a random choice weighted by the number of engines.
        return idle_wait_ms * std::exponential_distribution<double>(engines)(random_);
    }
    std::uniform_real_distribution<double> jitter(min_jitter, max_jitter);
    return (idle_wait_ms + wait_ms) * (1 + waiting) / engines * jitter(random_);
}

void scheduler_selector::on_request_sent(const std::string& address)
{
    ++stats_[address].waiting;
}

void scheduler_selector::remove_waiting(const std::string& address)
{
    auto& it = stats_[address];
    it.waiting = std::max(0, it.waiting - 1);
}

void scheduler_selector::on_grant(instant now, const std::string& address, milliseconds wait)
{
    remove_waiting(address);
    stats_[address].observe(now, static_cast<double>(wait.count()));
}

void scheduler_selector::on_refusal(instant now, const std::string& address, milliseconds retry_after)
{
    remove_waiting(address);
    stats_[address].observe(now, static_cast<double>(retry_after.count()));
}

void scheduler_selector::on_withdrawn(instant now, const std::string& address, milliseconds waited)
{
    remove_waiting(address);
    auto& it = stats_[address];
    if (static_cast<double>(waited.count()) > it.recent_wait_ms(now)) {
        it.observe(now, static_cast<double>(waited.count()));
    }
}

void scheduler_selector::keep(const std::vector<std::string>& addresses)
{
    for (auto it = stats_.begin(); it != stats_.end();) {
        const bool kept = std::find(addresses.begin(), addresses.end(), it->first) != addresses.end();
        it = kept ? std::next(it) : stats_.erase(it);
    }
}

} // namespace anvillead
