#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/peer_table.h"
#include "fleet/types/host_report.h"

namespace anvillead {

/// Sizes and intervals of the distribution of reports.
struct relay_limits
{
    /// Up to this number of hosts, each reports directly to all others; in a larger fleet, reports go through relays.
    std::size_t max_direct_hosts = 16;
    /// Number of relays per zone, which share the load.
    std::size_t relays = 2;
    /// Reports that arrive at a relay within this time are forwarded as one batch.
    milliseconds gather{8};
    /// Interval at which a relay forwards the full report of a host, even without changes, for hosts that have missed
    /// an update.
    milliseconds refresh_interval{1000};
    /// A relay with nothing to forward sends its own report at this interval to show that it is alive.
    milliseconds keepalive_interval{150};
    /// A host that starts to report through a relay continues to report directly for this time: one refresh interval
    /// plus the delay of the reports.
    milliseconds transition_time{1300};
    /// Minimum interval between two introductions of the fleet to the same host.
    milliseconds introduction_interval{900};
};

/// Distribution of the reports between hosts.
///
/// With 90 hosts, direct reports of each to all others cause more traffic between availability zones than all callers
/// together. In a large fleet, each host therefore reports to one relay of its zone, one of the hosts with the fastest
/// link there. A relay forwards updates, batched into datagrams, to the hosts of its zone and to one relay of each
/// other zone, which forwards them to its own zone. Each entry describes one host and carries absolute amounts, not
/// differences, so the protocol tolerates hosts that disagree about the relays and datagrams that are lost, repeated or
/// late. Sans-I/O; not thread-safe.
class report_exchange
{
public:
    struct outgoing
    {
        std::vector<std::string> addresses;
        fleet_datagram content;
    };

    report_exchange(peer_table& peers, host_id self, zone_name zone, relay_limits limits = {});

    /// Returns the messages that distribute this host's own report. `periodic` reports are also sent to contacts, which
    /// are addresses of possible hosts.
    std::vector<outgoing> distribute_own_report(instant now, host_report report, bool periodic);
    /// Processes a datagram; returns messages that introduce the fleet to a new host.
    std::vector<outgoing> receive(instant now, const fleet_datagram& datagram);
    /// Returns the pending messages that this host forwards as a relay.
    std::vector<outgoing> forward_pending(instant now);
    bool has_pending() const { return !pending_.empty() || !from_other_zones_.empty(); }
    /// Marks hosts as lost whose timeout has expired, and queues a keepalive on a relay that has nothing to forward.
    void look(instant now);

    /// Whether the fleet is large enough for reports to go through relays.
    bool uses_relays() const;
    /// Hosts of the zone that act as relays, in no particular order.
    std::vector<host_id> relays_in(const zone_name& zone) const;

private:
    /// Report of a host that reports to this one, as it was last forwarded.
    struct forwarded_report
    {
        host_report report;
        instant last_full{};
        bool forwarded = false;
    };

    /// Update about a host that has not been forwarded yet.
    struct pending_entry
    {
        bool full = false;
        bool lost = false;
    };

    const host_report* report_of(const host_id& host) const;
    std::string relay_address(const zone_name& zone, const std::string& key) const;
    void on_direct_report(instant now, const host_report& report);
    bool needs_forwarding(const forwarded_report& last, const host_report& report) const;
    report_entry make_entry(instant now, const host_id& host, const pending_entry& value);
    std::optional<outgoing> make_introduction(instant now, const host_report& newcomer);
    std::vector<std::string> zone_addresses() const;
    std::vector<std::string> other_relay_addresses() const;
    fleet_datagram compose(bool direct, std::vector<report_entry> entries) const;

    peer_table& peers_;
    host_id self_;
    zone_name zone_;
    relay_limits limits_;
    host_report own_report_;
    std::map<host_id, forwarded_report> reporters_;
    std::map<host_id, pending_entry> pending_;
    std::vector<report_entry> from_other_zones_;
    std::map<host_id, instant> last_introductions_;
    /// Addresses to which this host reported directly while the fleet was small, and until when it continues to do so.
    std::set<std::string> direct_targets_;
    instant direct_until_{};
    /// Latest versions that were forwarded to the hosts of the own zone.
    config_generation zone_configuration_ = 0;
    std::uint64_t zone_directory_revision_ = 0;
    instant last_sent_{};
};

} // namespace anvillead
