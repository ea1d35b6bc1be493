#include "admission/preemption_budget.h"

#include <algorithm>

namespace anvillead {

void preemption_budget::earn()
{
    saved_ = std::min(most, saved_ + per_grant);
}

} // namespace anvillead
