#include "node/client_limits.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr std::size_t mib = 1024 * 1024;
/// Of the descriptors, for files.
constexpr std::size_t reserved = 200;

node_settings host_with(std::size_t memory_mb, std::size_t descriptors)
{
    node_settings out;
    out.memory_bytes = memory_mb * mib;
    out.max_descriptors = descriptors;
    return out;
}

} // namespace

TEST_GROUP(client_limits){};

TEST(client_limits, stay_within_half_of_the_memory)
{
    for (const auto& host : {host_with(32, 500), host_with(88, 4100), host_with(110, 4100), host_with(512, 8192)}) {
        const auto limit = client_limit(host);
        const auto& sockets = frontend_options(nullptr).limits;
        const auto connection = 2 * (sockets.receive_buffer_bytes + sockets.send_buffer_bytes);
        CHECK(limit.connections * connection + limit.bytes <= host.memory_bytes / 2);
        CHECK(limit.bytes >= host.memory_bytes / 4);
    }
}

TEST(client_limits, leave_descriptors_to_the_host)
{
    for (const auto& host : {host_with(512, 500), host_with(512, 4100), host_with(512, 300), host_with(512, 100)}) {
        const auto limit = client_limit(host);
        CHECK(limit.connections <= limit.descriptors);
        const auto usable = host.max_descriptors - std::min(host.max_descriptors, reserved);
        CHECK(limit.descriptors + 2 * idle_connection_limit(host) <= usable);
    }
}

TEST(client_limits, settings_replace_what_is_computed)
{
    auto host = host_with(110, 4100);
    host.client_memory_bytes = 16 * mib;
    host.client_connections = 50;
    const auto limit = client_limit(host);
    LONGS_EQUAL(50, limit.connections);
    CHECK(limit.bytes < 16 * mib);
    // A statement is missing: as on a large machine.
    CHECK(client_limit({}).connections > 1000);
}

TEST(client_limits, ports_without_requests_take_no_bodies)
{
    LONGS_EQUAL(0, service_port_options(nullptr).limits.body_bytes);
}
