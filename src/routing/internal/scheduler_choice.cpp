#include "routing/scheduler_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace anvillead {

namespace {

// A wait counts half after this time: queues of a few seconds come and go.
constexpr double half_life_ms = 2000;
constexpr double newest_share = 0.3;
// Wait of an idle scheduler, and the least that counts as known.
constexpr double idle_wait_ms = 5;
constexpr double least_known_ms = 1;
// Gateways with the same knowledge must not all choose the same scheduler.
constexpr double smallest_jitter = 0.8;
constexpr double largest_jitter = 1.2;

template <typename Condition>
void keep_if_any(std::vector<scheduler_candidate>& candidates, Condition condition)
{
    if (std::any_of(candidates.begin(), candidates.end(), condition)) {
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), std::not_fn(condition)),
                         candidates.end());
    }
}

} // namespace

double scheduler_choice::knowledge::recent_wait_ms(instant now) const
{
    const double age_ms = std::chrono::duration<double, std::milli>(now - updated).count();
    return wait_ms * std::exp2(-age_ms / half_life_ms);
}

void scheduler_choice::knowledge::observe(instant now, double observed_ms)
{
    const double before = recent_wait_ms(now);
    wait_ms = before + newest_share * (observed_ms - before);
    updated = now;
}

std::vector<std::string> scheduler_choice::choose(instant now, std::vector<scheduler_candidate> candidates,
                                                  std::size_t count)
{
    keep_if_any(candidates, [](const scheduler_candidate& it) { return it.reachable; });
    keep_if_any(candidates, [](const scheduler_candidate& it) { return it.engines > 0; });
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

double scheduler_choice::cost(instant now, const scheduler_candidate& value)
{
    const double engines = std::max(1, value.engines);
    const auto it = known_.find(value.address);
    const double wait_ms = it == known_.end() ? 0 : it->second.recent_wait_ms(now);
    const int waiting = it == known_.end() ? 0 : it->second.waiting;
    if (waiting == 0 && wait_ms < least_known_ms) {
        // The smallest of exponentially distributed costs is a random choice in proportion to the engines.
        return idle_wait_ms * std::exponential_distribution<double>(engines)(random_);
    }
    std::uniform_real_distribution<double> jitter(smallest_jitter, largest_jitter);
    return (idle_wait_ms + wait_ms) * (1 + waiting) / engines * jitter(random_);
}

void scheduler_choice::on_asked(const std::string& address)
{
    ++known_[address].waiting;
}

void scheduler_choice::ended(const std::string& address)
{
    auto& it = known_[address];
    it.waiting = std::max(0, it.waiting - 1);
}

void scheduler_choice::on_grant(instant now, const std::string& address, milliseconds wait)
{
    ended(address);
    known_[address].observe(now, static_cast<double>(wait.count()));
}

void scheduler_choice::on_refusal(instant now, const std::string& address, milliseconds retry_after)
{
    ended(address);
    known_[address].observe(now, static_cast<double>(retry_after.count()));
}

void scheduler_choice::on_withdrawn(instant now, const std::string& address, milliseconds waited)
{
    ended(address);
    auto& it = known_[address];
    if (static_cast<double>(waited.count()) > it.recent_wait_ms(now)) {
        it.observe(now, static_cast<double>(waited.count()));
    }
}

void scheduler_choice::keep(const std::vector<std::string>& addresses)
{
    for (auto it = known_.begin(); it != known_.end();) {
        const bool kept = std::find(addresses.begin(), addresses.end(), it->first) != addresses.end();
        it = kept ? std::next(it) : known_.erase(it);
    }
}

} // namespace anvillead
