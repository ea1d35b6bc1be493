#pragma once

#include "node/types/node_settings.h"
#include "transport/ihttp_server.h"

namespace anvillead {

/// What the clients of all ports may take of the process; docs/design/memory.md has the account.
client_usage client_limit(const node_settings& settings);
/// Idle connections to upstreams and other hosts that are kept for reuse.
std::size_t idle_connection_limit(const node_settings& settings);
/// Limits of the server on the frontend, without address and handlers.
http_server_options frontend_options(std::shared_ptr<client_budget> budget);
/// Limits of a server whose requests have no body.
http_server_options service_port_options(std::shared_ptr<client_budget> budget);

} // namespace anvillead
