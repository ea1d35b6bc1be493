#include "fleet/report_exchange.h"

#include <algorithm>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

#include "fleet/report_codec.h"

using namespace anvillead;

namespace {

constexpr int fleet_size = 90;
constexpr int zone_count = 3;
constexpr int seed_count = 3;
constexpr milliseconds in_zone_delay{1};
constexpr milliseconds cross_zone_delay{2};
const upstream_id engine("engine");

struct simulated_host
{
    explicit simulated_host(int number)
        : id("host-" + std::to_string(number)), zone("zone-" + std::to_string(number % zone_count)),
          address("10.0.0." + std::to_string(number) + ":7200"), peers(id, address), exchange(peers, id, zone)
    {}

    host_id id;
    zone_name zone;
    std::string address;
    int link_mbps = 10;
    bool leaving = false;
    peer_table peers;
    report_exchange exchange;
    std::map<upstream_id, upstream_work> work;
    std::uint64_t sequence = 0;
    bool running = true;
    bool forward_scheduled = false;
    instant forward_at{};
};

struct packet
{
    std::string to;
    std::string text;
};

/// Simulates a fleet of hosts that report to each other over links with delay and packet loss.
class simulated_fleet
{
public:
    simulated_fleet()
    {
        for (int i = 0; i < fleet_size; ++i) {
            hosts_.push_back(std::make_unique<simulated_host>(i));
            // Two hosts of each zone have fast links.
            hosts_.back()->link_mbps = i < 2 * zone_count ? 200 : 10;
            by_address_[hosts_.back()->address] = hosts_.back().get();
        }
        for (auto& it : hosts_) {
            for (int i = 0; i < seed_count; ++i) {
                it->peers.add_contact(now_, hosts_[fleet_size - 1 - i]->address);
            }
        }
    }

    void run(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += milliseconds(1)) {
            deliver();
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                step(*hosts_[i], i);
            }
        }
    }

    void set_work(simulated_host& host, int active)
    {
        host.work[engine] = {active, 0, active * 1000, 0};
        report(host, false);
    }

    /// Number of running hosts for which the work of `of` is `amount`.
    int hosts_that_know(const simulated_host& of, int amount) const
    {
        int out = 0;
        for (const auto& it : hosts_) {
            const auto* report = it->peers.find(of.id);
            if (it->running && report != nullptr) {
                const auto found = report->work.find(engine);
                out += (found == report->work.end() ? 0 : found->second.active) == amount ? 1 : 0;
            }
        }
        return out;
    }

    int hosts_that_hear(const simulated_host& of) const
    {
        return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& it) {
            return it->running && it.get() != &of && it->peers.is_live(of.id);
        }));
    }

    std::size_t min_live_count() const
    {
        std::size_t out = fleet_size;
        for (const auto& it : hosts_) {
            out = it->running ? std::min(out, it->peers.live_count()) : out;
        }
        return out;
    }

    simulated_host& host(std::size_t number) { return *hosts_[number]; }
    simulated_host& find(const host_id& id)
    {
        return **std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& it) { return it->id == id; });
    }

    /// Fraction of datagrams that is lost.
    double loss = 0;
    std::size_t bytes_between_zones = 0;

private:
    void step(simulated_host& host, std::size_t number)
    {
        if (!host.running) {
            return;
        }
        const auto millisecond = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
        if ((millisecond + static_cast<std::int64_t>(number)) % peer_limits().period.count() == 0) {
            host.exchange.look(now_);
            report(host, true);
        }
        if (host.forward_scheduled && now_ >= host.forward_at) {
            host.forward_scheduled = false;
            send(host, host.exchange.forward_pending(now_));
        }
    }

    void report(simulated_host& host, bool periodic)
    {
        host_report out;
        out.host = host.id;
        out.incarnation = "first";
        out.sequence = ++host.sequence;
        out.availability_zone = host.zone;
        out.addresses.report = host.address;
        out.link_mbps = host.link_mbps;
        out.ready = true;
        out.leaving = host.leaving;
        out.work = host.work;
        if (periodic) {
            out.contacts = host.peers.live_addresses();
        }
        send(host, host.exchange.distribute_own_report(now_, out, periodic));
    }

    void send(simulated_host& from, const std::vector<report_exchange::outgoing>& messages)
    {
        for (const auto& message : messages) {
            for (const auto& text : encode_datagrams(message.content)) {
                for (const auto& to : message.addresses) {
                    const auto& target = *by_address_.at(to);
                    const bool crosses = target.zone != from.zone;
                    bytes_between_zones += crosses ? text.size() : 0;
                    if (std::uniform_real_distribution<double>(0, 1)(random_) >= loss) {
                        packets_.emplace(now_ + (crosses ? cross_zone_delay : in_zone_delay), packet{to, text});
                    }
                }
            }
        }
        if (from.exchange.has_pending() && !from.forward_scheduled) {
            from.forward_scheduled = true;
            from.forward_at = now_ + relay_limits().gather;
        }
    }

    void deliver()
    {
        while (!packets_.empty() && packets_.begin()->first <= now_) {
            const auto node = packets_.extract(packets_.begin());
            auto& host = *by_address_.at(node.mapped().to);
            if (host.running) {
                send(host, host.exchange.receive(now_, *decode_datagram(node.mapped().text)));
            }
        }
    }

    std::mt19937_64 random_{4711};
    instant now_ = instant{} + seconds(1000);
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::map<std::string, simulated_host*> by_address_;
    std::multimap<instant, packet> packets_;
};

constexpr std::size_t all_others = fleet_size - 1;
// Time between the start of a fleet and its first callers.
constexpr milliseconds startup_time{5000};
// Time until an update has reached all hosts through two relays: two batch intervals and three network delays.
constexpr milliseconds propagation_time{30};

} // namespace

TEST_GROUP(report_exchange_test)
{
    simulated_fleet fleet;
};

// Guards against a fleet that stays partitioned after its start.
TEST(report_exchange_test, hosts_that_start_with_three_contacts_discover_all_others)
{
    fleet.run(startup_time);
    LONGS_EQUAL(all_others, fleet.min_live_count());
    fleet.set_work(fleet.host(40), 3);
    fleet.run(propagation_time);
    LONGS_EQUAL(all_others, fleet.hosts_that_know(fleet.host(40), 3));
    fleet.set_work(fleet.host(40), 0);
    fleet.run(propagation_time);
    LONGS_EQUAL(all_others, fleet.hosts_that_know(fleet.host(40), 0));
}

// Load: 250 changes per second in 90 hosts. Direct reports of each host to all others took 25 MB/s between zones.
TEST(report_exchange_test, reports_between_zones_stay_within_the_control_traffic_target)
{
    fleet.run(startup_time);
    fleet.bytes_between_zones = 0;
    constexpr int changes = 1000;
    for (int i = 0; i < changes; ++i) {
        fleet.set_work(fleet.host(static_cast<std::size_t>(i * 7 % fleet_size)), 1 + i % 5);
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
    const auto relays = fleet.host(0).exchange.relays_in(fleet.host(0).zone);
    LONGS_EQUAL(2, relays.size());
    for (const auto& it : relays) {
        fleet.find(it).running = false;
    }
    constexpr int remaining = fleet_size - 2;
    // Time until the timeout has expired and the new relays have received and forwarded the reports of all hosts.
    fleet.run(peer_limits().direct_timeout + 2 * peer_limits().period + propagation_time);
    fleet.set_work(fleet.host(42), 4);
    fleet.run(propagation_time);
    LONGS_EQUAL(remaining - 1, fleet.hosts_that_know(fleet.host(42), 4));
    for (int i = 0; i < 40; ++i) {
        fleet.run(milliseconds(100));
        LONGS_EQUAL(remaining - 1, fleet.hosts_that_hear(fleet.host(42)));
    }
}

// Guards against callers that are directed to a host for seconds after it was killed.
TEST(report_exchange_test, a_killed_host_is_lost_everywhere_within_a_second)
{
    fleet.run(startup_time);
    fleet.host(50).running = false;
    fleet.run(peer_limits().direct_timeout + peer_limits().period + propagation_time);
    LONGS_EQUAL(0, fleet.hosts_that_hear(fleet.host(50)));
}

// Guards against a relay whose process was paused and that then reports all its hosts as lost.
TEST(report_exchange_test, a_relay_that_was_paused_reports_no_host_as_lost)
{
    fleet.run(startup_time);
    auto& relay = fleet.find(fleet.host(0).exchange.relays_in(fleet.host(0).zone).front());
    relay.running = false;
    fleet.run(seconds(4));
    relay.running = true;
    for (int i = 0; i < 30; ++i) {
        fleet.run(milliseconds(50));
        LONGS_EQUAL(all_others, fleet.hosts_that_hear(fleet.host(51)));
    }
    LONGS_EQUAL(all_others, fleet.min_live_count());
}

// Guards against a zone that sends no reports because all its hosts shut down at the same time.
TEST(report_exchange_test, a_zone_that_shuts_down_still_reports)
{
    fleet.run(startup_time);
    for (std::size_t i = 0; i < fleet_size; i += zone_count) {
        fleet.host(i).leaving = true;
    }
    // Each host reports to its relay within one period.
    fleet.run(2 * peer_limits().period);
    fleet.set_work(fleet.host(30), 2);
    fleet.run(propagation_time);
    LONGS_EQUAL(all_others, fleet.hosts_that_know(fleet.host(30), 2));
}

// Guards against work that is still counted because the datagram that reported its end was lost.
TEST(report_exchange_test, work_is_correct_after_lost_datagrams)
{
    fleet.run(startup_time);
    fleet.loss = 0.05;
    for (int i = 0; i < 200; ++i) {
        fleet.set_work(fleet.host(static_cast<std::size_t>(i * 11 % fleet_size)), i % 4);
        fleet.run(milliseconds(5));
    }
    fleet.loss = 0;
    fleet.run(relay_limits().refresh_interval + peer_limits().period + propagation_time);
    for (std::size_t i = 0; i < fleet_size; ++i) {
        const auto& host = fleet.host(i);
        const auto own = host.work.find(engine);
        LONGS_EQUAL(all_others, fleet.hosts_that_know(host, own == host.work.end() ? 0 : own->second.active));
    }
}
