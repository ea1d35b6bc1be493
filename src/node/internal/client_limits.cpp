#include "node/client_limits.h"

#include <algorithm>
#include <limits>

namespace anvillead {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

// Part of the process's memory that its clients may take: half of that by connections, half by what they hold.
constexpr std::size_t client_part_of_memory = 2;
constexpr std::size_t assumed_memory = 512 * mib;
constexpr std::size_t max_connections = 4096;

// Session, first buffer and pending operations.
constexpr std::size_t session_bytes = 8 * kib;
constexpr std::size_t connection_bytes = session_bytes;
// The call to an upstream with its buffers, and the start of its answer.
constexpr std::size_t request_bytes = 32 * kib;
// On each port, beside the budget.
constexpr std::size_t refused_connections = 8;

http_server_options with_budget(std::shared_ptr<client_budget> budget)
{
    http_server_options out;
    out.budget = std::move(budget);
    out.limits.refused_connections = refused_connections;
    return out;
}

} // namespace

client_usage client_limit(const node_settings& settings)
{
    const auto memory = settings.client_memory_bytes > 0 ? settings.client_memory_bytes
                        : settings.memory_bytes > 0      ? settings.memory_bytes / client_part_of_memory
                                                         : assumed_memory / client_part_of_memory;
    client_usage out;
    out.descriptors = std::numeric_limits<std::size_t>::max();
    out.connections = std::min(memory / 2 / connection_bytes, max_connections);
    if (settings.client_connections > 0) {
        out.connections = std::min(out.connections, settings.client_connections);
    }
    out.bytes = memory - out.connections * connection_bytes;
    return out;
}

http_server_options frontend_options(std::shared_ptr<client_budget> budget)
{
    auto out = with_budget(std::move(budget));
    out.request_usage = {0, 1, request_bytes};
    return out;
}

} // namespace anvillead
