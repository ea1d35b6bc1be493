#include "routing/retry_budget.h"

#include <algorithm>

namespace anvillead {

bool retry_budget::take()
{
    const std::lock_guard lock(mutex_);
    if (left_ < 1) {
        return false;
    }
    left_ -= 1;
    return true;
}

void retry_budget::refill()
{
    const std::lock_guard lock(mutex_);
    left_ = std::min(left_ + limits_.share, limits_.most);
}

} // namespace anvillead
