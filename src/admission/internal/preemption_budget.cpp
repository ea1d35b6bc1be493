#include "admission/preemption_budget.h"

#include <algorithm>

namespace anvillead {

void preemption_budget::earn()
{
    saved_ = std::min(max_saved, saved_ + earned_per_grant);
}

} // namespace anvillead
