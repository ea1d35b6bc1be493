#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "apps/gateway/gateway_settings.h"
#include "apps/gateway/progress_table.h"
#include "apps/gateway/scheduler_links.h"
#include "core/metrics.h"
#include "routing/retry_budget.h"
#include "routing/token_gap_table.h"
#include "streams/response_id.h"
#include "transport/ihttp_client.h"

namespace anvillead {

class iclaim_journal;
class keyed_requests;

/// Objects shared by all requests of a gateway. Owned by the daemon and outlives all exchanges.
struct gateway_context
{
    worker_pool& pool;
    const gateway_settings& settings;
    metrics& counters;
    ihttp_client& client;
    scheduler_links& schedulers;
    progress_table& progress;
    const response_id_codec& ids;
    std::function<view_ptr()> view;
    retry_budget& retries;
    token_gap_table& gaps;
    /// Both pointers are set before the first request is served.
    iclaim_journal* claims = nullptr;
    keyed_requests* keyed = nullptr;
    /// Number of requests without a complete answer, including streams whose caller has disconnected. Shared, because
    /// requests still owned by the transport are destroyed after the daemon.
    std::shared_ptr<std::atomic<std::size_t>> open_requests = std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace anvillead
