#include "dispatch/brief_room.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

void brief_room::add(instant now, std::int64_t memory_tokens, milliseconds time)
{
    if (ends_.size() < limits_.max_places) {
        ends_.push_back(now + time);
    }
    constexpr double weight = 0.05;
    const auto size = static_cast<double>(memory_tokens);
    average_tokens_ = average_tokens_ == 0 ? size : average_tokens_ + weight * (size - average_tokens_);
}

void brief_room::observe(instant now, std::size_t waiting)
{
    ends_.erase(std::remove_if(ends_.begin(), ends_.end(), [now](instant it) { return it <= now; }), ends_.end());
    const double elapsed = observed_ == instant{} ? 0 : std::chrono::duration<double>(now - observed_).count();
    const double half_life = std::chrono::duration<double>(limits_.half_life).count();
    const double factor = std::exp2(-std::max(0.0, elapsed) / half_life);
    observed_ = now;
    const auto concurrent = static_cast<double>(std::min(limits_.max_places, ends_.size() + waiting));
    peak_ = std::max(concurrent, peak_ * factor);
}

} // namespace anvillead
