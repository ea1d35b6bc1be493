#include "fleet/report_exchange.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "fleet/tests/simulated_fleet.h"

using namespace anvillead;

namespace {

constexpr int fleet_size = 90;
constexpr int zone_count = 3;
constexpr std::size_t all_others = fleet_size - 1;
const upstream_id engine("engine");
// Time between the start of a fleet and its first callers.
constexpr milliseconds startup_time{5000};
// Time until an update has reached the relays: two batch intervals and three network delays.
constexpr milliseconds propagation_time{30};
// Time until an update has reached the sums of all hosts: the relays pass it on in the next period.
constexpr milliseconds sum_time = propagation_time + milliseconds(150);
// The same for a host that has just changed its relay: it first reports to the new one in the next period.
constexpr milliseconds sum_time_after_change = sum_time + milliseconds(150);

upstream_work work_of(int active)
{
    return {active, 0, active * 1000, 0};
}

int relays_that_know(const simulated_fleet& fleet, const upstream_id& id)
{
    const auto relays = fleet.relays();
    return static_cast<int>(std::count_if(relays.begin(), relays.end(),
                                          [&](const auto* it) { return it->loads.total(id) == fleet.true_work(id); }));
}

} // namespace

TEST_GROUP(report_exchange_test)
{
    simulated_fleet fleet;

    /// Checks that the relays know the work on the engine exactly, and within `time` all other hosts its sum.
    void check_work_becomes_known(milliseconds time = sum_time)
    {
        fleet.run(propagation_time);
        LONGS_EQUAL(fleet.relays().size(), relays_that_know(fleet, engine));
        fleet.run(time - propagation_time);
        LONGS_EQUAL(fleet.running_hosts().size(), fleet.hosts_that_know(engine));
    }
};

// Guards against a fleet that stays partitioned after its start.
TEST(report_exchange_test, hosts_that_start_with_three_contacts_discover_all_others)
{
    fleet.run(startup_time);
    LONGS_EQUAL(all_others, fleet.min_live_count());
    LONGS_EQUAL(0, fleet.hosts_with_wrong_members());
    fleet.set_work(fleet.host(40), engine, work_of(3));
    check_work_becomes_known();
    fleet.set_work(fleet.host(40), engine, {});
    check_work_becomes_known();
}

// Load: 250 changes per second in 90 hosts. Direct reports of each host to all others took 25 MB/s between zones.
TEST(report_exchange_test, reports_between_zones_stay_within_the_control_traffic_target)
{
    fleet.run(startup_time);
    fleet.reset_counters();
    constexpr int changes = 1000;
    for (int i = 0; i < changes; ++i) {
        fleet.set_work(fleet.host(static_cast<std::size_t>(i * 7 % fleet_size)), engine, work_of(1 + i % 5));
        fleet.run(milliseconds(4));
    }
    // The target for all control traffic is 17 KB/s per host.
    constexpr std::size_t seconds_passed = 4;
    constexpr std::size_t limit = 17'000 * fleet_size * seconds_passed;
    CHECK(fleet.bytes_between_zones < limit);
}

// Guards against hosts that are marked as lost, or updates that are not forwarded, because a relay fails.
TEST(report_exchange_test, a_lost_relay_is_replaced)
{
    fleet.run(startup_time);
    const auto relays = fleet.host(0).exchange->relays_in(fleet.host(0).zone);
    LONGS_EQUAL(2, relays.size());
    for (const auto& it : relays) {
        fleet.kill(fleet.find(it));
    }
    constexpr int remaining = fleet_size - 2;
    // Time until the timeout has expired and the new relays have received and forwarded the reports of all hosts.
    fleet.run(peer_limits().direct_timeout + 2 * peer_limits().period + propagation_time);
    fleet.set_work(fleet.host(42), engine, work_of(4));
    check_work_becomes_known(sum_time_after_change);
    for (int i = 0; i < 40; ++i) {
        fleet.run(milliseconds(100));
        LONGS_EQUAL(remaining - 1, fleet.hosts_that_hear(fleet.host(42)));
    }
    LONGS_EQUAL(0, fleet.false_losses);
}

// Guards against callers that are directed to a host for seconds after it was killed.
TEST(report_exchange_test, a_killed_host_is_lost_everywhere_within_a_second)
{
    fleet.run(startup_time);
    fleet.kill(fleet.host(50));
    fleet.run(peer_limits().direct_timeout + peer_limits().period + propagation_time);
    LONGS_EQUAL(0, fleet.hosts_that_hear(fleet.host(50)));
}

// Guards against callers that are directed to a relay for seconds after it was killed.
TEST(report_exchange_test, a_killed_relay_is_lost_everywhere_within_a_second)
{
    fleet.run(startup_time);
    auto& relay = fleet.find(fleet.host(0).exchange->relays_in(fleet.host(0).zone).front());
    fleet.kill(relay);
    fleet.run(peer_limits().direct_timeout + 2 * peer_limits().period + propagation_time);
    LONGS_EQUAL(0, fleet.hosts_that_hear(relay));
}

// Guards against a relay whose process was paused and that then reports all its hosts as lost.
TEST(report_exchange_test, a_relay_that_was_paused_reports_no_host_as_lost)
{
    fleet.run(startup_time);
    auto& relay = fleet.find(fleet.host(0).exchange->relays_in(fleet.host(0).zone).front());
    relay.running = false;
    fleet.run(seconds(4));
    relay.running = true;
    for (int i = 0; i < 30; ++i) {
        fleet.run(milliseconds(50));
        LONGS_EQUAL(all_others, fleet.hosts_that_hear(fleet.host(51)));
    }
    LONGS_EQUAL(all_others, fleet.min_live_count());
}

// Guards against work that is still counted because the datagram that reported its end was lost.
TEST(report_exchange_test, work_is_correct_after_lost_datagrams)
{
    fleet.run(startup_time);
    fleet.loss = 0.05;
    for (int i = 0; i < 200; ++i) {
        fleet.set_work(fleet.host(static_cast<std::size_t>(i * 11 % fleet_size)), engine, work_of(i % 4));
        fleet.run(milliseconds(5));
    }
    fleet.loss = 0;
    fleet.run(relay_limits().refresh_interval + peer_limits().period + propagation_time);
    LONGS_EQUAL(fleet.relays().size(), relays_that_know(fleet, engine));
    fleet.run(relay_limits().work_refresh_interval + peer_limits().period);
    LONGS_EQUAL(fleet.running_hosts().size(), fleet.hosts_that_know(engine));
}
