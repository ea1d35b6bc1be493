#pragma once

#include <memory>
#include <vector>

#include "core/result.h"
#include "node/generation_relay.h"
#include "node/node_context.h"
#include "node/plain_call.h"

namespace anvillead {

/// Entry point of callers' requests: resolves the route and the organisation, sets the deadline, and starts a
/// generation_relay for streaming generations or a plain_call for everything else.
class caller_handler
{
public:
    explicit caller_handler(node_context& context) : context_(context) {}

    void handle(http_request message, const std::shared_ptr<ihttp_exchange>& exchange);

    /// The answer to a request that its head shows cannot be served, or null.
    std::function<void(ihttp_exchange&)> check_head(const http_request& head) const;

    void on_upstream_leaving(const upstream_id& upstream);
    /// Called when the process begins to shut down.
    void on_shutdown();
    /// Called when prompts were put under quarantine.
    void on_requests_quarantined();
    void on_upstream_restarted(const upstream_id& upstream);
    /// Number of generations in progress.
    std::size_t open_generations();
    /// Ends all requests in progress, for a process that has to exit.
    void abort_all(const std::string& reason);

private:
    /// Takes out of a request that another host has passed on what that host has added; returns why it is not served.
    std::optional<error> admit_forwarded(http_request& message, admitted_request& out) const;
    result<admitted_request> admit(http_request message, const std::shared_ptr<ihttp_exchange>& exchange) const;
    /// Finds what the head of a request refers to; returns why it is not served.
    std::optional<error> resolve(const http_request& message, admitted_request& out) const;
    /// The error for a route or key that the configuration of this host does not have.
    error refuse_unknown(error_kind kind, std::string message) const;
    void start_generation(admitted_request request);
    void start_plain_call(admitted_request request);
    void for_each_generation(const std::function<void(generation_relay&)>& action);

    node_context& context_;
    std::vector<std::weak_ptr<generation_relay>> generations_;
    std::vector<std::weak_ptr<plain_call>> plain_calls_;
    /// Number of entries at which those of ended calls are removed.
    std::size_t plain_calls_limit_ = 0;
};

} // namespace anvillead
