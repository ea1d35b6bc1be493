#pragma once

#include <functional>
#include <memory>

#include "apps/gateway/gateway_context.h"
#include "apps/gateway/registry_links.h"
#include "apps/gateway/response_stream.h"
#include "claims/iclaim_journal.h"

namespace anvillead {

/// Starts requests, or attaches them to the generation started by an earlier request with the same idempotency key.
class keyed_requests
{
public:
    keyed_requests(gateway_context& context, registry_links& registry);

    /// `view` owns the configuration that `request` points into.
    void start(response_request request, const view_ptr& view, const std::shared_ptr<ihttp_exchange>& exchange);
    /// Records the location of an idempotent request with a key in the registry.
    void on_dispatched(const response_request& request, const response_location& location);
    /// Returns the claim to record in the journal when `request` runs at `location`.
    claim_request make_claim_request(const response_request& request, const response_location& location) const;
    /// Returns a handler for a stream whose key is already claimed by an earlier request. The handler attaches the
    /// exchange to the generation of that request.
    failure_handler make_attach_handler(const response_request& request, const view_ptr& view,
                                        const std::shared_ptr<ihttp_exchange>& exchange, const claim_record& existing);

private:
    /// A request that has been neither started nor attached.
    struct pending_request
    {
        response_request request;
        view_ptr view;
        std::shared_ptr<ihttp_exchange> exchange;
        bool closed = false;
        bool head_sent = false;
        /// Time of the last keep-alive comment sent to the caller.
        instant last_keep_alive{};
    };

    struct attachment
    {
        response_request request;
        view_ptr view;
        std::shared_ptr<ihttp_exchange> exchange;
        response_location location;
        /// Attaching is retried until then, because the first request may have its claim but not be dispatched yet.
        instant retry_deadline{};
    };

    void start_idempotent(const std::shared_ptr<pending_request>& value);
    void start_with_claim(const std::shared_ptr<pending_request>& value);
    void handle_lookup_result(const std::shared_ptr<pending_request>& value, const std::optional<std::string>& found);
    /// Refreshes the pending_response_id entry in the registry until the request is dispatched or ends.
    void renew_pending(const std::string& key, const std::weak_ptr<response_stream>& stream);
    void run(response_request request, const view_ptr& view, const std::shared_ptr<ihttp_exchange>& exchange,
             bool head_sent);
    bool attach(const std::shared_ptr<attachment>& value, bool head_sent);
    bool handle_attach_failure(const std::shared_ptr<attachment>& value, error& reason, bool head_sent);
    std::shared_ptr<attachment> make_attachment(const response_request& request, const view_ptr& view,
                                                const std::shared_ptr<ihttp_exchange>& exchange,
                                                const std::string& record) const;

    gateway_context& context_;
    registry_links& registry_;
};

} // namespace anvillead
