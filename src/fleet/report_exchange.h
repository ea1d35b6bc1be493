#pragma once

#include <functional>
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
    /// Interval at which a relay forwards the full report of a host, even without changes, for relays that have missed
    /// an update.
    milliseconds refresh_interval{1000};
    /// A relay that has forwarded nothing for this long sends its own report to show that it is alive. Shorter than a
    /// period, so that it sends in each.
    milliseconds keepalive_interval{100};
    /// A host that no longer sends to an address in each period says so for this time: one refresh interval plus the
    /// delay of the reports, so that its reports arrive through a relay before the direct ones end.
    milliseconds transition_time{1300};
    /// Minimum interval between two introductions of the fleet to the same host.
    milliseconds introduction_interval{900};
    /// A host that has received no summary for this long asks the other relays of its zone whether they live; two
    /// periods.
    milliseconds relay_probe_time{300};
    /// A host that has received no summary for this long considers the relays of its zone lost that have not answered.
    milliseconds relay_timeout{550};
    /// A host that has received no summary for this long decides by the hosts it knows whether reports go through
    /// relays.
    milliseconds summary_timeout{1000};
    /// Maximum number of upstreams in a summary, which then fits into one packet of about 1,200 bytes.
    std::size_t summary_upstreams = 40;
    /// Interval at which the work on an upstream is repeated in summaries even without changes.
    milliseconds work_refresh_interval{2000};
    /// A host requests the list of hosts when it has differed from that of its relay for this long. Changes of the list
    /// take a few milliseconds.
    milliseconds list_tolerance{500};
    /// Hosts that the relay has not listed this long after the lists began to differ are removed.
    milliseconds list_timeout{2000};
    /// A lost host is reported in this many periods, in case datagrams are lost.
    int loss_notices = 3;
};

/// Distribution of the reports between hosts.
///
/// With 90 hosts, direct reports of each to all others cause more traffic between availability zones than all callers
/// together. In a large fleet, each host therefore reports to one relay of its zone, one of the hosts with the fastest
/// link there. The relays of all zones exchange the reports: updates, batched into datagrams, go to the other relays of
/// the zone and to one relay of each other zone, which passes them on to the relays of its own zone. Each entry
/// describes one host and carries absolute amounts, not differences, so the protocol tolerates hosts that disagree
/// about the relays and datagrams that are lost, repeated or late.
///
/// All other hosts need only sums and the list of live hosts, so that their cost does not grow with the number of
/// requests: their relay sends them changes of the list at once and a summary of bounded size in each period. A hash of
/// the list in the summary shows whether a change was lost; the host then requests the complete list.
///
/// Sans-I/O; not thread-safe.
class report_exchange
{
public:
    using work_map = std::map<upstream_id, upstream_work>;

    struct outgoing
    {
        std::vector<std::string> addresses;
        fleet_datagram content;
        /// Sent instead of `content` if set.
        std::optional<fleet_summary> summary;
    };

    struct hooks
    {
        /// Returns the work of the whole fleet, as far as this host knows it.
        std::function<work_map()> fleet_work;
        /// Returns the upstreams that have begun to leave in the last seconds.
        std::function<std::vector<upstream_id>()> leaving_upstreams;
        /// Called for each summary that this host's relay has sent.
        std::function<void(const fleet_summary&)> on_summary;
        /// This host has become a relay, and its view of the fleet's work is not complete yet.
        std::function<void()> on_became_relay;
    };

    report_exchange(peer_table& peers, host_id self, zone_name zone, relay_limits limits = {});
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// Returns the messages that distribute this host's own report. `periodic` reports are also sent to contacts, which
    /// are addresses of possible hosts.
    std::vector<outgoing> distribute_own_report(instant now, host_report report, bool periodic);
    /// Processes a datagram of another host. Replies are sent by `forward_pending`.
    void receive(instant now, const fleet_datagram& datagram);
    void receive_summary(instant now, const fleet_summary& summary);
    /// Returns the pending messages: as a relay, what it forwards; otherwise, introductions of the fleet to new hosts.
    std::vector<outgoing> forward_pending(instant now);
    bool has_pending() const;
    /// Called in each period. Marks hosts as lost whose timeout has expired and, as a relay, queues a keepalive when
    /// there is nothing to forward and returns the summary for the hosts that report to this one.
    std::vector<outgoing> run_period(instant now);
    /// Makes the next `forward_pending` send a summary without waiting for the next period.
    void request_summary() { summary_requested_ = true; }

    /// Whether the fleet is large enough for reports to go through relays.
    bool uses_relays() const;
    /// Whether this host receives the sums of the work from a relay, so that it does not know the work of single hosts.
    bool receives_sums() const { return summarized_; }
    /// Addresses to which this host sends in each period.
    std::set<std::string> regular_targets(instant now) const;
    /// Hosts of the zone that act as relays.
    std::vector<host_id> relays_in(const zone_name& zone) const;
    /// Relays of all zones.
    const std::vector<host_id>& relays() const { return current_roles().all; }
    /// This host is one of the relays of its zone, as far as it knows.
    bool is_relay() const;

private:
    /// Report of a host that reports to this one, as it was last forwarded.
    struct forwarded_report
    {
        host_report report;
        instant last_received{};
        instant last_full{};
        bool forwarded = false;
    };

    /// Update about a host that has not been forwarded yet.
    struct pending_entry
    {
        bool full = false;
        bool lost = false;
    };

    /// Assignment of the relays, computed once for each version of the list of hosts.
    struct roles
    {
        std::uint64_t version = 0;
        std::map<zone_name, std::vector<host_id>> relays;
        std::vector<host_id> all;
        /// Report address of the relay to which this host reports; its own if it is a relay.
        std::string own_relay;
        host_id own_relay_host;
        /// Report addresses of the other relays of this zone, and of one relay of each other zone.
        std::vector<std::string> fellow_relays;
        std::vector<std::string> other_zones;
    };

    /// Identifies a state of a host's report.
    struct report_version
    {
        std::string incarnation;
        std::uint64_t sequence = 0;
    };

    /// When a host was last sent the list of all hosts, and that of the relays.
    struct introduction_times
    {
        instant list{};
        instant relays{};
    };

    struct announced_work
    {
        upstream_work work;
        instant at{};
    };

    const roles& current_roles() const;
    const host_report* report_of(const host_id& host) const;
    std::vector<std::string> reporter_addresses(instant now) const;
    void process_direct_report(instant now, const host_report& report, bool repeats);
    void add_reporter(instant now, const host_report& report);
    bool needs_forwarding(const forwarded_report& last, const host_report& report) const;
    bool is_newer_than_passed_on(const report_entry& value);
    report_entry make_entry(instant now, const host_id& host, const pending_entry& value);
    std::vector<report_entry> list_changes();
    void check_own_relay(instant now);
    void queue_lost_hosts(instant now, const std::vector<host_id>& watched_hosts);
    void queue_introduction(instant now, const host_report& newcomer, bool reports_here);
    std::vector<outgoing> introductions();
    outgoing make_summary(instant now);
    void compare_lists(instant now, const fleet_summary& summary);
    fleet_datagram compose(bool direct, bool repeats, std::vector<report_entry> entries) const;

    peer_table& peers_;
    host_id self_;
    zone_name zone_;
    relay_limits limits_;
    hooks hooks_;
    host_report own_report_;
    /// Increases when a property of the own report changes that roles depend on.
    std::uint64_t own_version_ = 1;
    mutable roles roles_;

    /// Hosts that report to this one, with the host itself if it is a relay.
    std::map<host_id, forwarded_report> reporters_;
    std::map<host_id, pending_entry> pending_;
    /// Lost hosts and the number of periods in which they are still reported as lost.
    std::map<host_id, int> loss_notices_;
    std::vector<report_entry> from_other_zones_;
    std::map<host_id, report_version> passed_on_;
    /// Hosts whose state may differ from what the reporters were told.
    std::set<host_id> touched_;
    /// Hash of what the reporters were told about each live host.
    std::map<host_id, std::uint64_t> announced_hosts_;
    std::uint64_t announced_version_ = 0;
    std::map<host_id, introduction_times> last_introductions_;
    /// Report addresses of hosts to introduce the fleet to: with all hosts, or only with the relays.
    std::set<std::string> list_receivers_;
    std::set<std::string> relay_list_receivers_;
    /// Addresses to which this host sent in each period, and until when it tells them that it no longer does.
    std::map<std::string, instant> targets_;
    /// Latest versions that were forwarded as a relay.
    config_generation zone_configuration_ = 0;
    store_revision zone_directory_revision_;
    store_revision zone_evacuation_revision_;
    instant last_sent_{};
    bool was_relay_ = false;

    std::map<upstream_id, announced_work> announced_work_;
    std::uint64_t summary_sequence_ = 0;
    bool summary_requested_ = false;

    /// The last summary received.
    host_id summary_relay_;
    report_version summary_version_;
    instant last_summary_{};
    bool summarized_ = false;
    instant lists_differ_since_{};
    bool requests_member_list_ = false;
    /// The relay to which this host reports, and since when.
    host_id own_relay_;
    instant own_relay_since_{};
    /// Relays of the zone that are asked whether they live because the own one is late, and since when.
    std::vector<host_id> probed_relays_;
    instant probing_since_{};
};

/// Encodes a message as datagrams.
std::vector<std::string> encode(const report_exchange::outgoing& message);

} // namespace anvillead
