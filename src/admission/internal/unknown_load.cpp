#include "admission/unknown_load.h"

#include <algorithm>

namespace anvillead {

namespace {

// Reports older than this cannot be compared any more.
constexpr seconds history_length{5};
constexpr milliseconds record_period{50};
// Grants in flight and ends not yet reported make single differences noisy; the least of this period counts.
constexpr milliseconds smoothing{1000};
constexpr milliseconds fresh{500};
// Part of the capacity by which other schedulers' work may grow per second without a report, and its bound.
constexpr double margin_per_second = 0.02;
constexpr double largest_margin = 0.10;

} // namespace

void unknown_load::record(instant now, double used, int running)
{
    if (!history_.empty() && now - history_.back().at < record_period) {
        return;
    }
    history_.push_back({now, used, running});
    while (now - history_.front().at > history_length) {
        history_.pop_front();
    }
}

void unknown_load::report(instant now, const engine_load& value)
{
    const auto taken = now - value.lag;
    if (reported_ && taken < taken_) {
        return;
    }
    reported_ = true;
    taken_ = taken;
    sample own;
    for (const auto& it : history_) {
        if (it.at > taken) {
            break;
        }
        own = it;
    }
    const double rest = std::max(0.0, static_cast<double>(value.used.count) - own.used);
    const int count = value.running + value.waiting - own.running;
    unexplained_.push_back({now, rest, count});
    while (now - unexplained_.front().at > smoothing) {
        unexplained_.pop_front();
    }
}

int unknown_load::difference() const
{
    if (unexplained_.empty()) {
        return 0;
    }
    const auto [low, high] = std::minmax_element(unexplained_.begin(), unexplained_.end(),
                                                 [](const auto& a, const auto& b) { return a.running < b.running; });
    return low->running > 0 ? low->running : std::min(high->running, 0);
}

double unknown_load::tokens_at(instant now, double capacity) const
{
    if (unexplained_.empty()) {
        return 0;
    }
    const auto least = std::min_element(unexplained_.begin(), unexplained_.end(),
                                        [](const auto& a, const auto& b) { return a.used < b.used; });
    const double age = std::chrono::duration<double>(now - taken_ - fresh).count();
    return least->used + capacity * std::clamp(age * margin_per_second, 0.0, largest_margin);
}

} // namespace anvillead
