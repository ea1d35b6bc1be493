#pragma once

#include <memory>
#include <vector>

#include "core/result.h"
#include "node/generation_relay.h"
#include "node/node_context.h"

namespace anvillead {

/// Takes callers' requests: finds the route and the organisation, sets the deadline, and hands the request to the part
/// that serves its kind.
class caller_handler
{
public:
    explicit caller_handler(node_context& context) : context_(context) {}

    void handle(http_request message, const std::shared_ptr<ihttp_exchange>& exchange);

    void upstream_leaving(const upstream_id& upstream);
    void upstream_restarted(const upstream_id& upstream);
    /// Generations that are being served.
    std::size_t open_generations();
    void cut_off_all(const std::string& reason);

private:
    result<admitted_request> admit(http_request message, const std::shared_ptr<ihttp_exchange>& exchange) const;
    void start_generation(admitted_request request);
    void for_each(const std::function<void(generation_relay&)>& action);

    node_context& context_;
    std::vector<std::weak_ptr<generation_relay>> generations_;
};

} // namespace anvillead
