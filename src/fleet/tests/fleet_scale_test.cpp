#include <algorithm>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "fleet/tests/simulated_fleet.h"

using namespace anvillead;

namespace {

constexpr int zones = 5;
constexpr int engines = 120;
// Time between the start of a fleet and its first callers.
constexpr milliseconds startup_time{5000};
// Time until all hosts have the right list of hosts after any change: the time that the deployments allow for recovery.
constexpr milliseconds settling_time{15'000};
// The target for the control traffic of a host.
constexpr std::size_t max_bytes_per_second = 17'000;

/// A fleet with three fast hosts a zone that all start within 0.3 s; some datagrams are lost, late or reordered.
simulated_fleet_options fleet_of(int hosts, std::uint64_t seed)
{
    simulated_fleet_options out;
    out.hosts = hosts;
    out.zones = zones;
    out.fast_hosts = 3 * zones;
    out.jitter = milliseconds(5);
    out.start_interval = milliseconds(300);
    out.seed = seed;
    return out;
}

constexpr double datagram_loss = 0.01;

upstream_id engine(int number)
{
    return upstream_id("engine-" + std::to_string(number % engines));
}

/// Changes the work of some host every `interval`: one generation begins or ends.
void run_load(simulated_fleet& fleet, milliseconds time, int changes_per_second, std::mt19937_64& random)
{
    const auto count = changes_per_second * time / seconds(1);
    const milliseconds gap{std::max<std::int64_t>(1, time.count() / std::max<std::int64_t>(1, count))};
    const auto changes_per_gap = std::max<std::int64_t>(1, count * gap.count() / time.count());
    for (milliseconds passed{0}; passed < time; passed += gap) {
        for (std::int64_t i = 0; i < changes_per_gap; ++i) {
            auto& host = fleet.host(random() % fleet.hosts().size());
            const auto active = static_cast<int>(random() % 3);
            if (host.running) {
                fleet.set_work(host, engine(static_cast<int>(random() % engines)),
                               {active, 0, std::int64_t{active} * 3000, 0});
            }
        }
        fleet.run(gap);
    }
}

/// Number of engines for which a running host does not know the true work.
int wrong_sums(const simulated_fleet& fleet)
{
    int out = 0;
    for (int i = 0; i < engines; ++i) {
        out += static_cast<int>(fleet.running_hosts().size()) - fleet.hosts_that_know(engine(i));
    }
    return out;
}

} // namespace

TEST_GROUP(fleet_scale_test)
{
    std::mt19937_64 random{11};

    static void check_settled(const simulated_fleet& fleet)
    {
        LONGS_EQUAL(0, fleet.hosts_with_wrong_members());
        LONGS_EQUAL(0, fleet.false_losses);
        // Two relays in each zone.
        LONGS_EQUAL(2 * zones, fleet.relays().size());
    }

    /// Bytes a second that hosts which are no relays sent and received at most, and bytes between zones.
    static void check_traffic(const simulated_fleet& fleet, std::size_t seconds_passed)
    {
        const auto relays = fleet.relays();
        std::size_t most = 0;
        std::size_t relayed = 0;
        for (const auto* it : fleet.running_hosts()) {
            const auto bytes = it->bytes_sent + it->bytes_received;
            const bool relay = std::find(relays.begin(), relays.end(), it) != relays.end();
            (relay ? relayed : most) = std::max(relay ? relayed : most, bytes);
        }
        fmt::print("  {} hosts: {} B/s a host that is no relay, {} B/s a relay, {} B/s between zones a host\n",
                   fleet.running_hosts().size(), most / seconds_passed, relayed / seconds_passed,
                   fleet.bytes_between_zones / seconds_passed / fleet.running_hosts().size());
        CHECK(most <= max_bytes_per_second * seconds_passed);
        CHECK(fleet.bytes_between_zones <= max_bytes_per_second * seconds_passed * fleet.running_hosts().size());
    }
};

// Load: 300 hosts that start within 0.3 s, then 640 changes of work a second. Guards against costs that grow with the
// square of the fleet, and against sums that stay wrong.
TEST(fleet_scale_test, three_hundred_hosts_start_and_know_the_work)
{
    simulated_fleet fleet(fleet_of(300, 1));
    fleet.loss = datagram_loss;
    fleet.run(startup_time);
    check_settled(fleet);
    fleet.reset_counters();
    constexpr std::size_t load_s = 4;
    run_load(fleet, seconds(load_s), 640, random);
    check_traffic(fleet, load_s);
    fleet.run(relay_limits().work_refresh_interval + relay_limits().refresh_interval);
    fleet.loss = 0;
    fleet.run(relay_limits().work_refresh_interval + relay_limits().refresh_interval);
    LONGS_EQUAL(0, wrong_sums(fleet));
    check_settled(fleet);
}

TEST(fleet_scale_test, four_hundred_and_twenty_hosts_start_within_the_traffic_target)
{
    simulated_fleet fleet(fleet_of(420, 2));
    fleet.loss = datagram_loss;
    fleet.run(startup_time);
    check_settled(fleet);
    fleet.reset_counters();
    constexpr std::size_t load_s = 2;
    run_load(fleet, seconds(load_s), 900, random);
    check_traffic(fleet, load_s);
}

// Guards against a fleet that keeps lost hosts in its list, or loses others, after most of it was killed at once.
TEST(fleet_scale_test, more_than_half_of_the_hosts_are_killed_at_once)
{
    simulated_fleet fleet(fleet_of(300, 3));
    fleet.loss = datagram_loss;
    fleet.run(startup_time);
    for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
        if (random() % 100 < 55) {
            fleet.kill(fleet.host(i));
        }
    }
    fleet.run(settling_time);
    check_settled(fleet);
    for (auto& it : fleet.hosts()) {
        if (!it->running) {
            fleet.start(*it);
        }
    }
    fleet.run(settling_time);
    check_settled(fleet);
}

// Guards against a fleet that does not find itself because a part of it is killed while it starts.
TEST(fleet_scale_test, a_fifth_of_the_hosts_is_killed_two_seconds_after_the_start)
{
    simulated_fleet fleet(fleet_of(300, 4));
    fleet.loss = datagram_loss;
    fleet.run(seconds(2));
    std::vector<simulated_host*> killed;
    for (auto& it : fleet.hosts()) {
        if (random() % 100 < 19) {
            fleet.kill(*it);
            killed.push_back(it.get());
        }
    }
    fleet.run(milliseconds(500));
    for (auto* it : killed) {
        fleet.start(*it);
    }
    fleet.run(settling_time);
    check_settled(fleet);
}

// Guards against lists that lag behind while many hosts are stopped and started in turn.
TEST(fleet_scale_test, almost_half_of_the_hosts_are_replaced_in_turn)
{
    simulated_fleet fleet(fleet_of(300, 5));
    fleet.loss = datagram_loss;
    fleet.run(startup_time);
    constexpr std::size_t replaced = 135;
    for (std::size_t i = 0; i < replaced; ++i) {
        auto& host = fleet.host(i * 2);
        fleet.kill(host);
        fleet.run(milliseconds(30));
        fleet.start(host);
    }
    fleet.run(settling_time);
    check_settled(fleet);
}

// Guards against a zone that stays apart after it was cut off, and against parts that do not find each other because
// every host waits for another to ask.
TEST(fleet_scale_test, a_zone_returns_after_it_was_cut_off)
{
    simulated_fleet fleet(fleet_of(300, 6));
    fleet.loss = datagram_loss;
    fleet.run(startup_time);
    for (std::size_t i = 1; i < fleet.hosts().size(); i += zones) {
        fleet.host(i).partition = 1;
    }
    fleet.run(seconds(8));
    LONGS_EQUAL(0, fleet.false_losses);
    for (std::size_t i = 1; i < fleet.hosts().size(); i += zones) {
        fleet.host(i).partition = 0;
    }
    fleet.run(settling_time);
    check_settled(fleet);
}

// Guards against a zone that sends no reports because all its hosts shut down at the same time.
TEST(fleet_scale_test, a_zone_that_shuts_down_still_reports)
{
    const simulated_fleet_options options;
    simulated_fleet fleet(options);
    fleet.run(startup_time);
    for (int i = 0; i < options.hosts; i += options.zones) {
        fleet.host(static_cast<std::size_t>(i)).leaving = true;
    }
    // Each host reports to its relay within one period.
    fleet.run(2 * peer_limits().period);
    fleet.set_work(fleet.host(30), engine(0), {2, 0, 2000, 0});
    // Two batch intervals and three network delays.
    fleet.run(milliseconds(30));
    for (const auto* it : fleet.relays()) {
        CHECK(it->loads.total(engine(0)) == fleet.true_work(engine(0)));
    }
    fleet.run(2 * peer_limits().period);
    LONGS_EQUAL(fleet.running_hosts().size(), fleet.hosts_that_know(engine(0)));
}
