#include "routing/retry_budget.h"

#include <algorithm>

namespace anvillead {

bool retry_budget::take()
{
    const std::lock_guard lock(mutex_);
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

void retry_budget::refill()
{
    const std::lock_guard lock(mutex_);
    available_ = std::min(available_ + limits_.share, limits_.most);
}

} // namespace anvillead
