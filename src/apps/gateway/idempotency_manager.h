#pragma once

#include <memory>

#include "apps/gateway/claim_driver.h"
#include "apps/gateway/claim_pruning.h"
#include "apps/gateway/key_forwarder.h"
#include "apps/gateway/keyed_requests.h"
#include "object_store/http_platform_client.h"

namespace anvillead {

/// Owns the components that handle idempotency keys in a gateway. Sets `claims` and `keyed` of the context.
class idempotency_manager
{
public:
    idempotency_manager(gateway_context& context, const link_options& options, incarnation number);

    /// Prefix that callers put in front of the UUIDv7 of a key to bind the key to this process.
    std::string bound_prefix() const { return codec_.prefix_for(self_); }
    link_handlers server_handlers() { return registry_.server_handlers(); }
    void apply_view(const view_ptr& view);
    bool forward(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange)
    {
        return forwarder_.forward(request, exchange);
    }
    /// Starts the periodic deletion of expired claims.
    void start_pruning();

private:
    gateway_context& context_;
    bound_key_codec codec_;
    bound_key_owner self_;
    std::shared_ptr<isequence> sequence_;
    http_platform_client platform_;
    claim_driver claims_;
    registry_links registry_;
    keyed_requests keyed_;
    key_forwarder forwarder_;
    claim_pruning pruning_;
};

} // namespace anvillead
