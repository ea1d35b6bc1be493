#pragma once

#include <map>
#include <memory>

#include "apps/gateway/gateway_context.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// `ANY /services/{service}/{path}`: forwards a call to one upstream of a plain service.
class service_proxy
{
public:
    explicit service_proxy(gateway_context& context) : context_(context) {}

    void handle(http_request request, const std::shared_ptr<ihttp_exchange>& exchange);

private:
    const upstream* choose(const service& target, const std::vector<upstream_id>& leaving);
    void forward(http_request request, const upstream& target, const std::string& path,
                 const std::shared_ptr<ihttp_exchange>& exchange);

    gateway_context& context_;
    ranked_mutex mutex_{lock_rank::streams};
    std::map<upstream_id, int> outstanding_;
};

} // namespace anvillead
