#include "admission/retry_after_estimator.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

constexpr double sample_s = 0.5;
constexpr double time_constant_s = 5;
constexpr double min_delay_s = 0.5;
constexpr double max_delay_s = 300;
constexpr double jitter_fraction = 0.5;

} // namespace

void retry_after_estimator::observe_delivery(instant now, double token_count, bool waiting, double assumed)
{
    if (assumed != assumed_) {
        // Without this, a rate of 0 measured without engines would take many samples to recover.
        rate_ = assumed_ > 0 ? rate_ * assumed / assumed_ : assumed;
        assumed_ = assumed;
        pending_ = 0;
        waited_throughout_ = true;
        last_ = now;
    }
    pending_ += token_count;
    waited_throughout_ = waited_throughout_ && waiting;
    const double passed = std::chrono::duration<double>(now - last_).count();
    if (passed < sample_s) {
        return;
    }
    const double sample = pending_ / passed;
    if (waited_throughout_ || sample > rate_) {
        rate_ += (sample - rate_) * (1 - std::exp(-passed / time_constant_s));
    }
    waited_throughout_ = true;
    pending_ = 0;
    last_ = now;
}

milliseconds retry_after_estimator::jittered(double delay_s)
{
    const double bounded = std::clamp(delay_s, min_delay_s, max_delay_s);
    // std::uniform_real_distribution gives different values in different standard libraries.
    const double unit = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
    return milliseconds(static_cast<std::int64_t>(bounded * (1 + jitter_fraction * unit) * 1000));
}

} // namespace anvillead
