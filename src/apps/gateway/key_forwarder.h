#pragma once

#include <memory>

#include "apps/gateway/gateway_context.h"
#include "claims/bound_key_codec.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// Sends requests whose keys are bound to another gateway to that gateway and passes its answer through.
class key_forwarder
{
public:
    key_forwarder(gateway_context& context, const bound_key_codec& keys, bound_key_owner self);

    /// True when the request was taken over: it is forwarded, or answered because its gateway is gone.
    bool forward(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);

private:
    std::string address_of(const bound_key_owner& owner) const;
    void call(const http_request& request, const std::string& address, const std::shared_ptr<ihttp_exchange>& exchange);

    gateway_context& context_;
    const bound_key_codec& keys_;
    bound_key_owner self_;
};

} // namespace anvillead
