#pragma once

#include <functional>
#include <memory>

#include "apps/gateway/gateway_context.h"
#include "apps/gateway/registry_links.h"
#include "apps/gateway/response_stream.h"
#include "claims/iclaim_journal.h"

namespace anvillead {

/// Starts requests, or attaches them to the run that an earlier arrival of their idempotency key started.
class keyed_requests
{
public:
    keyed_requests(gateway_context& context, registry_links& registry);

    /// `view` holds the document that the request points into.
    void start(response_request request, const view_ptr& view, const std::shared_ptr<ihttp_exchange>& exchange);
    /// Remembers where an idempotent request with a key runs.
    void dispatched(const response_request& request, const response_location& location);
    /// What the journal records when `request` runs at `location`.
    claim_request claim_for(const response_request& request, const response_location& location) const;
    /// For a stream that lost its claim to an earlier arrival: attaches the exchange to that run instead.
    lost_handler attach_instead(const response_request& request, const view_ptr& view,
                                const std::shared_ptr<ihttp_exchange>& exchange, const claim_record& existing);

private:
    /// A request before it runs or is attached.
    struct arrival
    {
        response_request request;
        view_ptr view;
        std::shared_ptr<ihttp_exchange> exchange;
        bool closed = false;
        bool head_sent = false;
        /// Last sign of life sent to the caller.
        instant last_sign{};
    };

    struct attachment
    {
        response_request request;
        view_ptr view;
        std::shared_ptr<ihttp_exchange> exchange;
        response_location location;
        /// Until then the first arrival may be between its claim and its dispatch.
        instant patience{};
    };

    void start_idempotent(const std::shared_ptr<arrival>& value);
    void start_claimed(const std::shared_ptr<arrival>& value);
    void found_earlier(const std::shared_ptr<arrival>& value, const std::optional<std::string>& found);
    /// Renews the registry's pending_run entry until the request is dispatched or ends.
    void renew_pending(const std::string& key, const std::weak_ptr<response_stream>& stream);
    void run(response_request request, const view_ptr& view, const std::shared_ptr<ihttp_exchange>& exchange,
             bool head_sent);
    bool attach(const std::shared_ptr<attachment>& value, bool head_sent);
    bool lost(const std::shared_ptr<attachment>& value, error& reason, bool head_sent);
    std::shared_ptr<attachment> make_attachment(const response_request& request, const view_ptr& view,
                                                const std::shared_ptr<ihttp_exchange>& exchange,
                                                const std::string& record) const;

    gateway_context& context_;
    registry_links& registry_;
};

} // namespace anvillead
