#include "admission/external_load.h"

#include <algorithm>

namespace anvillead {

namespace {

// Reports older than this cannot be compared with the recorded use.
constexpr seconds history_length{5};
constexpr milliseconds record_period{50};
// Single differences are noisy because of grants in flight and ends not reported yet; the minimum over this window
// counts.
constexpr milliseconds smoothing_window{1000};
constexpr milliseconds fresh_age{500};
// Fraction of the capacity by which the load of other schedulers may grow per second without a report, and its bound.
constexpr double margin_per_second = 0.02;
constexpr double max_margin = 0.10;

} // namespace

void external_load::record(instant now, double used, int running)
{
    if (!history_.empty() && now - history_.back().at < record_period) {
        return;
    }
    history_.push_back({now, used, running});
    while (now - history_.front().at > history_length) {
        history_.pop_front();
    }
}

void external_load::report(instant now, const engine_load& value)
{
    const auto taken_at = now - value.lag;
    if (reported_ && taken_at < taken_at_) {
        return;
    }
    reported_ = true;
    taken_at_ = taken_at;
    sample own;
    for (const auto& it : history_) {
        if (it.at > taken_at) {
            break;
        }
        own = it;
    }
    const double external_tokens = std::max(0.0, static_cast<double>(value.used.count) - own.used);
    const int external_running = value.running + value.waiting - own.running;
    external_history_.push_back({now, external_tokens, external_running});
    while (now - external_history_.front().at > smoothing_window) {
        external_history_.pop_front();
    }
}

int external_load::running_difference() const
{
    if (external_history_.empty()) {
        return 0;
    }
    const auto [low, high] = std::minmax_element(external_history_.begin(), external_history_.end(),
                                                 [](const auto& a, const auto& b) { return a.running < b.running; });
    return low->running > 0 ? low->running : std::min(high->running, 0);
}

double external_load::tokens_at(instant now, double capacity) const
{
    if (external_history_.empty()) {
        return 0;
    }
    const auto least = std::min_element(external_history_.begin(), external_history_.end(),
                                        [](const auto& a, const auto& b) { return a.used < b.used; });
    const double age = std::chrono::duration<double>(now - taken_at_ - fresh_age).count();
    return least->used + capacity * std::clamp(age * margin_per_second, 0.0, max_margin);
}

} // namespace anvillead
