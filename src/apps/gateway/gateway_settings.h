#pragma once

#include "admission/progress_period.h"
#include "apps/common/daemon.h"
#include "apps/gateway/claim_settings.h"
#include "routing/request_flow.h"
#include "routing/retry_budget.h"
#include "routing/service_balancer.h"
#include "transport/http_types.h"

namespace anvillead {

/// Settings of grant requests.
struct grant_settings
{
    /// Time without a scheduler for a service after which its requests are refused. It must exceed the duration of a
    /// takeover, about 6 s: a failed host is suspected after a few probes and declared dead 3 s later.
    milliseconds scheduler_absence{8'000};
    /// Number of schedulers that one request is sent to if the cells of its service have several; 1 or 2.
    std::size_t schedulers_asked = 2;
};

struct gateway_settings
{
    common_settings common;
    /// "address:port" to listen on for callers; port 0 lets the kernel choose a port.
    std::string listen;
    /// HTTP address advertised to callers and other gateways; empty to use `listen`.
    std::string advertise;
    /// "address:port" to listen on for links of other gateways.
    std::string link_listen;
    /// Link address advertised to other gateways; empty to use `link_listen`.
    std::string link_advertise;
    /// Link address of the agent on this host.
    std::string agent;
    http_limits http;
    flow_limits flow;
    stall_limits stall;
    balancer_limits balancer;
    /// Interval at which load reports of plain services in use are requested.
    milliseconds load_period{500};
    retry_budget_limits retries;
    claim_settings claims;
    milliseconds keep_alive_comment{5000};
    progress_rate progress;
    grant_settings grants;
    /// Time for which callers may cache an answer of /v1/endpoints.
    milliseconds endpoints_ttl{5000};
    /// Timeout for the answer of a plain service.
    milliseconds service_timeout{30'000};
    /// Tolerance for clock skew and delivery delay, added to endpoints_ttl during a graceful shutdown.
    milliseconds shutdown_skew{1000};
    /// The engine link is not read while a caller has more than this number of unsent bytes.
    std::size_t caller_buffer_bytes = 256 * 1024;
    std::size_t open_requests = 4000;
};

gateway_settings read_gateway_settings(field_reader& reader);

} // namespace anvillead
