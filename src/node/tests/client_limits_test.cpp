#include "node/client_limits.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace anvillead;

namespace {

constexpr std::size_t mib = 1024 * 1024;

node_settings host_with(std::size_t memory_mb)
{
    node_settings out;
    out.memory_bytes = memory_mb * mib;
    return out;
}

} // namespace

TEST_GROUP(client_limits){};

TEST(client_limits, stay_within_half_of_the_memory)
{
    for (const auto& host : {host_with(32), host_with(88), host_with(110), host_with(512)}) {
        const auto limit = client_limit(host);
        const auto& sockets = frontend_options(nullptr).limits;
        const auto connection = 2 * (sockets.receive_buffer_bytes + sockets.send_buffer_bytes);
        CHECK(limit.connections * connection + limit.bytes <= host.memory_bytes / 2);
        CHECK(limit.bytes >= host.memory_bytes / 4);
    }
}

TEST(client_limits, settings_replace_what_is_computed)
{
    auto host = host_with(110);
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
