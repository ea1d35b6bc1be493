#include "apps/scheduler/gateway_links.h"

#include <utility>

namespace anvillead {

void gateway_links::on_link_opened(const link_ptr& link)
{
    const auto previous = std::exchange(links_[gateway_identity(link->peer())], link);
    if (previous && previous != link) {
        previous->close("replaced by a newer link");
    }
}

bool gateway_links::on_link_closed(const link_ptr& link)
{
    const auto it = links_.find(gateway_identity(link->peer()));
    if (it == links_.end() || it->second != link) {
        return false;
    }
    links_.erase(it);
    return true;
}

link_ptr gateway_links::find(const gateway_identity& gateway) const
{
    const auto it = links_.find(gateway);
    return it == links_.end() ? nullptr : it->second;
}

} // namespace anvillead
