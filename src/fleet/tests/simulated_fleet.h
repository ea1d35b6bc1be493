#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/load_table.h"
#include "fleet/fleet_broadcast.h"
#include "fleet/report_exchange.h"

namespace anvillead {

/// Size, links and start of a simulated fleet.
struct simulated_fleet_options
{
    int hosts = 90;
    int zones = 3;
    /// Hosts with a fast link; host 0 is one of them, and they are spread over the zones.
    int fast_hosts = 6;
    /// Hosts whose addresses all others know at their start; they are the last ones of the fleet.
    int seeds = 3;
    milliseconds in_zone_delay{1};
    milliseconds cross_zone_delay{2};
    /// Each datagram takes up to this much longer, which also reorders them.
    milliseconds jitter{0};
    /// Hosts start at random times within this interval.
    milliseconds start_interval{0};
    std::uint64_t seed = 4711;
};

struct simulated_host
{
    simulated_host(int number, const simulated_fleet_options& options);

    host_id id;
    zone_name zone;
    std::string address;
    std::string incarnation = "first";
    int link_mbps = 10;
    bool ready = true;
    bool leaving = false;
    bool without_path = false;
    store_revision evacuation_revision;
    /// False for a process that was killed or is paused.
    bool running = false;
    /// Hosts of different partitions do not reach each other.
    int partition = 0;
    std::unique_ptr<peer_table> peers;
    std::unique_ptr<report_exchange> exchange;
    std::unique_ptr<request_quarantine> quarantine;
    std::unique_ptr<fleet_broadcast> evidence;
    load_table loads;
    std::uint64_t sequence = 0;
    instant starts_at{};
    bool forward_scheduled = false;
    instant forward_at{};
    std::size_t bytes_sent = 0;
    std::size_t bytes_received = 0;
    std::size_t datagrams_received = 0;
};

/// Simulates a fleet of hosts that report to each other over links with delay and packet loss, in virtual time.
class simulated_fleet
{
public:
    explicit simulated_fleet(simulated_fleet_options options = {});

    void run(milliseconds time);
    /// Sets the work of a host on an engine; the host reports it immediately.
    void set_work(simulated_host& host, const upstream_id& engine, const upstream_work& work);
    /// An engine crashed and cut a generation of this host with these prompt parts before its first event.
    void crash_engine(simulated_host& host, const upstream_id& engine, const request_traits& parts);
    /// An engine began to answer a prompt of this host with these parts.
    void answer(simulated_host& host, const request_traits& parts);
    /// Number of running hosts that would send a prompt with these parts.
    int hosts_that_send(const request_traits& parts) const;
    /// A host loses its path to upstreams, or has it again; it reports that immediately.
    void set_without_path(simulated_host& host, bool value);
    /// A host reads a newer list of evacuated zones from the store; it reports that immediately.
    void set_evacuation_revision(simulated_host& host, store_revision value);
    /// Each running host, or each relay, fetches the newest list of evacuated zones that another host reports.
    void fetch_evacuations(bool relays_only);
    int hosts_with_older_evacuations(store_revision value) const;
    /// Number of running hosts that are wrong about whether another one has a path.
    int hosts_wrong_about_paths() const;
    /// Ends the process of a host; `start` begins a new one that knows the seeds only.
    void kill(simulated_host& host);
    void start(simulated_host& host);

    simulated_host& host(std::size_t number) { return *hosts_[number]; }
    simulated_host& find(const host_id& id);
    const std::vector<std::unique_ptr<simulated_host>>& hosts() const { return hosts_; }
    std::vector<const simulated_host*> running_hosts() const;
    std::vector<const simulated_host*> relays() const;

    /// Work of all running hosts on an engine.
    upstream_work true_work(const upstream_id& engine) const;
    /// Number of running hosts that know the true number of active requests on an engine.
    int hosts_that_know(const upstream_id& engine) const;
    /// Number of running hosts that consider `of` live.
    int hosts_that_hear(const simulated_host& of) const;
    /// Smallest number of other live hosts that a running host knows.
    std::size_t min_live_count() const;
    /// Running hosts that differ from the truth in the set of live hosts.
    int hosts_with_wrong_members() const;
    void reset_counters();

    /// Fraction of datagrams that is lost.
    double loss = 0;
    std::size_t bytes_between_zones = 0;
    /// Number of times that a host declared a running, connected host lost.
    int false_losses = 0;

private:
    /// A datagram, decoded once for all its receivers.
    struct content
    {
        std::optional<fleet_datagram> datagram;
        std::optional<fleet_summary> summary;
        /// Evidence of crashes, whose times depend on when it arrives.
        std::string evidence;
        std::size_t bytes = 0;
    };

    struct packet
    {
        simulated_host* to = nullptr;
        std::shared_ptr<const content> value;
    };

    void step(simulated_host& host, std::size_t number);
    void report(simulated_host& host, bool periodic);
    void send(simulated_host& from, const std::vector<report_exchange::outgoing>& messages);
    void send(simulated_host& from, const fleet_broadcast::outgoing& message);
    void transmit(simulated_host& from, const std::string& to, const std::shared_ptr<const content>& value);
    void schedule_forwarding(simulated_host& host);
    void deliver();
    bool connected(const simulated_host& a, const simulated_host& b) const;

    simulated_fleet_options options_;
    std::mt19937_64 random_;
    instant now_ = instant{} + seconds(1000);
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::map<std::string, simulated_host*> by_address_;
    std::multimap<instant, packet> packets_;
};

} // namespace anvillead
