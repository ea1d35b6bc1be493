#pragma once

#include "admission/progress_period.h"
#include "apps/common/daemon.h"
#include "apps/gateway/claim_settings.h"
#include "routing/request_flow.h"
#include "routing/retry_budget.h"
#include "routing/service_balancer.h"
#include "transport/http_types.h"

namespace anvillead {

/// How grants are asked for.
struct grant_settings
{
    /// Requests are refused after a service has had no scheduler for this long. It must exceed a takeover: a lost host
    /// is suspected after a few probes and taken for dead 3 s later, in all after about 6 s.
    milliseconds scheduler_absence{8'000};
    /// Schedulers asked for one request when the cells of its service have several, 1 or 2.
    std::size_t schedulers_asked = 2;
};

struct gateway_settings
{
    common_settings common;
    /// "address:port" for callers; port 0 lets the kernel choose.
    std::string listen;
    /// Address that callers and other gateways use for HTTP; empty for the one above.
    std::string advertise;
    /// "address:port" for links of other gateways.
    std::string link_listen;
    /// Address that other gateways use for links; empty for the one above.
    std::string link_advertise;
    /// Link address of the agent on this host.
    std::string agent;
    http_limits http;
    flow_limits flow;
    stall_limits stall;
    balancer_limits balancer;
    /// Time between two load reports of a plain service in use.
    milliseconds load_period{500};
    retry_budget_limits retries;
    claim_settings claims;
    milliseconds keep_alive_comment{5000};
    progress_rate progress;
    grant_settings grants;
    /// How long callers may keep an answer of /v1/endpoints.
    milliseconds endpoints_ttl{5000};
    /// Longest time for the answer of a plain service.
    milliseconds service_timeout{30'000};
    /// Clock and delivery tolerance added to endpoints_ttl during a graceful shutdown.
    milliseconds shutdown_skew{1000};
    /// The engine link is not read while a caller has more unsent bytes than this.
    std::size_t caller_buffer_bytes = 256 * 1024;
    std::size_t open_requests = 4000;
};

gateway_settings read_gateway_settings(field_reader& reader);

} // namespace anvillead
