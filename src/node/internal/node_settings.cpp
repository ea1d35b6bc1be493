#include "node/types/node_settings.h"

#include <tuple>

namespace anvillead {

bool same_addresses(const node_settings& a, const node_settings& b)
{
    const auto addresses = [](const node_settings& it) {
        return std::tie(it.host, it.availability_zone, it.ip, it.frontend, it.readiness, it.directory, it.control,
                        it.report, it.store);
    };
    return addresses(a) == addresses(b);
}

bool operator==(const node_settings& a, const node_settings& b)
{
    const auto others = [](const node_settings& it) {
        return std::tie(it.seeds, it.shutdown_grace, it.retry_share, it.retry_slack, it.max_endpoint_age,
                        it.upstream_source);
    };
    return same_addresses(a, b) && others(a) == others(b);
}

} // namespace anvillead
