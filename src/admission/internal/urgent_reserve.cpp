#include "admission/urgent_reserve.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Range of the histogram in concurrent urgent requests per group: 32 engines with 64 slots each.
constexpr int max_count = 2048;
constexpr double half_life_s = 60;
constexpr double high_quantile = 0.98;
constexpr seconds decay_period{1};

} // namespace

urgent_reserve::urgent_reserve() : counts_(boost::histogram::make_histogram(axis_type(0, max_count))) {}

void urgent_reserve::observe(instant now, int concurrent)
{
    if (last_ != instant{}) {
        const double weight = std::chrono::duration<double>(now - last_).count();
        counts_.at(std::clamp(concurrent, 0, max_count - 1)) += weight;
    } else {
        decayed_ = now;
    }
    last_ = now;
    if (now - decayed_ >= decay_period) {
        const double passed = std::chrono::duration<double>(now - decayed_).count();
        counts_ *= std::exp2(-passed / half_life_s);
        decayed_ = now;
        slots_ = quantile(high_quantile);
    }
}

int urgent_reserve::quantile(double probability) const
{
    double sum = 0;
    for (int i = 0; i < max_count; ++i) {
        sum += counts_.at(i);
    }
    double below = 0;
    for (int i = 0; i < max_count; ++i) {
        below += counts_.at(i);
        if (below >= sum * probability) {
            return i;
        }
    }
    return 0;
}

} // namespace anvillead
