#include "node/client_limits.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

// Part of the process's memory that its clients may take: half of that by connections, half by what they hold.
constexpr std::size_t client_part_of_memory = 2;
constexpr std::size_t assumed_memory = 512 * mib;
// Of the descriptors, those that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;
// Of the others, those of the host itself: the store, other hosts, copies of generations, idle connections.
constexpr std::size_t own_descriptors = 256;
constexpr std::size_t own_part_of_descriptors = 3;
constexpr std::size_t assumed_descriptors = 8192;
constexpr std::size_t max_connections = 4096;

// The kernel doubles the sizes of socket buffers that it is told.
constexpr std::size_t receive_buffer_bytes = 4 * kib;
constexpr std::size_t send_buffer_bytes = 8 * kib;
constexpr std::size_t large_socket_buffer_bytes = 64 * kib;
// Session, first buffer and pending operations.
constexpr std::size_t session_bytes = 8 * kib;
constexpr std::size_t connection_bytes = 2 * (receive_buffer_bytes + send_buffer_bytes) + session_bytes;
// The call to an upstream with its buffers, and the start of its answer.
constexpr std::size_t request_bytes = 32 * kib;
// On each port, beside the budget.
constexpr std::size_t refused_connections = 8;
constexpr int frontend_backlog = 512;
constexpr int service_backlog = 128;

http_server_options with_budget(std::shared_ptr<client_budget> budget)
{
    http_server_options out;
    out.budget = std::move(budget);
    out.limits.refused_connections = refused_connections;
    out.limits.receive_buffer_bytes = receive_buffer_bytes;
    out.limits.send_buffer_bytes = send_buffer_bytes;
    out.limits.large_socket_buffer_bytes = large_socket_buffer_bytes;
    return out;
}

std::size_t own_descriptor_part(const node_settings& settings)
{
    const auto most = settings.max_descriptors == 0 ? assumed_descriptors : settings.max_descriptors;
    const auto usable = most - std::min(most, file_descriptors);
    return std::min(own_descriptors, usable / own_part_of_descriptors);
}

} // namespace

client_usage client_limit(const node_settings& settings)
{
    const auto memory = settings.client_memory_bytes > 0 ? settings.client_memory_bytes
                        : settings.memory_bytes > 0      ? settings.memory_bytes / client_part_of_memory
                                                         : assumed_memory / client_part_of_memory;
    const auto most = settings.max_descriptors == 0 ? assumed_descriptors : settings.max_descriptors;
    client_usage out;
    out.descriptors = most - std::min(most, file_descriptors + own_descriptor_part(settings));
    out.connections = std::min({memory / 2 / connection_bytes, max_connections, out.descriptors});
    if (settings.client_connections > 0) {
        out.connections = std::min(out.connections, settings.client_connections);
    }
    out.bytes = memory - out.connections * connection_bytes;
    return out;
}

std::size_t idle_connection_limit(const node_settings& settings)
{
    return own_descriptor_part(settings) / 2;
}

http_server_options frontend_options(std::shared_ptr<client_budget> budget)
{
    auto out = with_budget(std::move(budget));
    out.limits.backlog = frontend_backlog;
    out.request_usage = {0, 1, request_bytes};
    return out;
}

http_server_options service_port_options(std::shared_ptr<client_budget> budget)
{
    auto out = with_budget(std::move(budget));
    out.limits.backlog = service_backlog;
    out.limits.body_bytes = 0;
    return out;
}

} // namespace anvillead
