#include "node/granted_slot.h"

#include <utility>

#include "node/rate_service.h"

namespace anvillead {

void granted_slot::take(const upstream_id& upstream)
{
    if (context_.rates->counts_requests(upstream)) {
        upstream_ = upstream;
    }
}

void granted_slot::release(bool refused)
{
    if (const auto upstream = std::exchange(upstream_, std::nullopt)) {
        context_.rates->release(*upstream, refused);
    }
}

} // namespace anvillead
