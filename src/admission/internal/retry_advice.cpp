#include "admission/retry_advice.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

constexpr double sample_s = 0.5;
constexpr double time_constant_s = 5;
constexpr double shortest_s = 0.5;
constexpr double longest_s = 300;
constexpr double jitter_part = 0.5;

} // namespace

void retry_advice::delivered(instant now, double token_count, bool waiting, double assumed)
{
    if (assumed != assumed_) {
        // A rate measured without engines would be 0 and take many samples to recover.
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

milliseconds retry_advice::jittered(double delay_s)
{
    const double bounded = std::clamp(delay_s, shortest_s, longest_s);
    // Not std::uniform_real_distribution: its output differs between standard libraries.
    const double unit = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
    return milliseconds(static_cast<std::int64_t>(bounded * (1 + jitter_part * unit) * 1000));
}

} // namespace anvillead
