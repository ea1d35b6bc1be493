#pragma once

#include <memory>

#include "apps/gateway/gateway_context.h"
#include "claims/bound_key_codec.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Forwards requests whose idempotency keys are bound to another gateway to that gateway and relays its answer.
class key_forwarder
{
public:
    key_forwarder(gateway_context& context, const bound_key_codec& codec, bound_key_owner self);

    /// Returns true if the request was handled here: it is forwarded, or answered with an error because the gateway of
    /// its key is no longer available.
    bool forward(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);

private:
    std::string address_of(const bound_key_owner& owner) const;
    void forward_to(const http_request& request, const std::string& address,
                    const std::shared_ptr<ihttp_exchange>& exchange);

    gateway_context& context_;
    const bound_key_codec& codec_;
    bound_key_owner self_;
};

} // namespace anvillead
