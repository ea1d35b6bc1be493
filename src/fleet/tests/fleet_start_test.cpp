#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "fleet/tests/simulated_fleet.h"

using namespace anvillead;

namespace {

/// A fleet slightly larger than the size up to which all hosts report to all others, with one fast link, as in
/// large_fleet_test.
simulated_fleet_options fleet_of_18(std::uint64_t seed)
{
    simulated_fleet_options out;
    out.hosts = 18;
    out.zones = 3;
    out.fast_hosts = 1;
    out.seeds = 3;
    out.jitter = milliseconds(20);
    out.start_interval = milliseconds(300);
    out.seed = seed;
    return out;
}

} // namespace

TEST_GROUP(fleet_start_test){};

// Guards against hosts that are declared lost while the fleet starts, because a host that was a relay until it learned
// of a better one stops sending to hosts that count on its datagrams.
TEST(fleet_start_test, no_host_is_declared_lost_while_a_fleet_starts)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        simulated_fleet fleet(fleet_of_18(seed));
        fleet.run(seconds(5));
        LONGS_EQUAL_TEXT(0, fleet.false_losses, fmt::format("seed {}", seed).c_str());
        LONGS_EQUAL_TEXT(0, fleet.hosts_with_wrong_members(), fmt::format("seed {}", seed).c_str());
    }
}
