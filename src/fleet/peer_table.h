#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "fleet/types/host_report.h"
#include "membership/types/member.h"

namespace anvillead {

/// Intervals and timeouts of the reports between hosts.
struct peer_limits
{
    /// Interval between reports when nothing changes.
    milliseconds period{150};
    /// A host that reports directly to this one in each period is considered lost, and not offered to callers, after
    /// this time without a report. Allows for three lost reports and a scheduling pause.
    milliseconds direct_timeout{550};
    /// The same for a host whose reports arrive through a relay. Allows for the replacement of a lost relay in its zone
    /// and one refresh interval.
    milliseconds relayed_timeout{2500};
    /// The same on a relay for hosts of other zones, whose refreshes pass several links. Allows for several lost ones;
    /// the relays of a zone report a lost host explicitly.
    milliseconds remote_timeout{4500};
    /// If `expire` was not called for longer than this, the process of this host itself was paused, and the time does
    /// not count towards the timeouts of the others.
    milliseconds pause_threshold{400};
    /// Interval between reports to an address from which no reports are received.
    milliseconds contact_period{1000};
    /// An address that has never responded, or no longer does, is removed after this time.
    milliseconds contact_timeout{60'000};
    /// Maximum number of contacts that one periodic report is sent to; bounds the traffic after many hosts are lost.
    std::size_t max_contacts_per_report = 16;
};

/// The other hosts, as described by their reports. Sans-I/O; not thread-safe.
class peer_table
{
public:
    struct hooks
    {
        std::function<void(const host_report&)> on_joined;
        /// Called for each report that is newer than the last one of its host.
        std::function<void(const host_report&)> on_report;
        std::function<void(const host_id&)> on_lost;
    };

    peer_table(host_id self, std::string own_report_address, peer_limits limits = {});
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// Adds an address to report to although no report was received from it: a seed or a registered host.
    void add_contact(instant now, const std::string& report_address);
    /// Applies a report. Returns false for one that is repeated, out of order, this host's own, or incremental for an
    /// unknown incarnation, and for a notice that a host is lost.
    /// `repeats` states that the sender will report directly again in the next period, `from_relay` that the relay to
    /// which this host reports has sent the entry, so that it shows that a host lives.
    bool on_report(instant now, const report_entry& value, bool direct = true, bool repeats = true,
                   bool from_relay = false);
    /// Records that `host` is alive because it sent a datagram with reports of other hosts.
    void on_relay_datagram(instant now, const host_id& host, bool repeats = true);
    /// Records that the relay of this host considers all hosts live that it has not reported as lost, and which
    /// versions of the platform's state the relay holds.
    void on_relay_summary(instant now, const fleet_summary& summary);
    /// Marks a host as lost from which nothing was received directly for `timeout`.
    void remove_if_silent(instant now, const host_id& host, milliseconds timeout);
    /// Marks hosts as lost about which nothing was received since `time`, except `relay`.
    void remove_unheard(instant now, instant time, const host_id& relay);
    /// Sets the zone for which this host is a relay; empty if it is none.
    void set_relay_zone(zone_name zone) { relay_zone_ = std::move(zone); }
    /// Marks hosts as lost whose timeout has expired. `expects_direct_reports` returns whether a host is expected to
    /// report directly to this one.
    void expire(instant now, const std::function<bool(const host_report&)>& expects_direct_reports);

    /// Makes all contacts due.
    void retry_contacts();
    /// Contacts to which the next periodic report is sent in addition to its usual targets.
    std::vector<std::string> due_contacts(instant now);
    /// Addresses of the live hosts.
    std::vector<std::string> live_addresses() const;
    /// Live hosts, ordered by id. Valid until the next change of the table.
    const std::vector<const host_report*>& live() const;
    /// Increases whenever a host becomes live or lost, or a property changes by which roles are assigned or callers are
    /// directed. Results that depend on the list of hosts are computed once per version.
    std::uint64_t version() const { return version_; }
    /// Hash of the live hosts and their states. Independent of order; combine with `member_hash` of further hosts by
    /// exclusive or.
    std::uint64_t member_digest() const;
    bool is_live(const host_id& host) const;
    std::size_t live_count() const { return live_count_; }
    /// The last report of a host; null if none was received.
    const host_report* find(const host_id& host) const;
    /// The live hosts as members, for the selection of endpoints.
    std::vector<member> members() const;

private:
    struct peer
    {
        host_report report;
        instant last_heard{};
        instant last_heard_directly{};
        /// The host reports directly to this one in each period. A single direct report may also come from a
        /// host that reports to a relay.
        bool reports_periodically = false;
        bool live = false;
        /// Incarnation before the current one; its late reports are dropped.
        std::string previous_incarnation;
    };

    struct contact
    {
        instant added{};
        instant last_tried{};
    };

    bool is_new_report(const peer* known, const report_entry& value, bool direct) const;
    void record_direct_report(instant now, peer& value, bool repeats) const;
    void on_reported_lost(instant now, const report_entry& value);
    void compensate_pause(instant now);
    void remove_live_address(const std::string& address);
    milliseconds timeout_of(const peer& value, bool direct) const;
    void mark_lost(instant now, const host_id& host, peer& value);

    host_id self_;
    std::string own_report_address_;
    peer_limits limits_;
    zone_name relay_zone_;
    hooks hooks_;
    std::map<host_id, peer> peers_;
    std::map<std::string, contact> contacts_;
    std::size_t live_count_ = 0;
    /// Number of live hosts by report address; a host that restarted under another id shares one for a while.
    std::map<std::string, int> live_addresses_;
    std::uint64_t version_ = 1;
    /// Cached results and the versions they belong to.
    mutable std::vector<const host_report*> live_;
    mutable std::uint64_t live_version_ = 0;
    mutable std::uint64_t digest_ = 0;
    mutable std::uint64_t digest_version_ = 0;
    instant last_expire_{};
    instant last_summary_{};
};

/// Hash of a host's identity and state, for `peer_table::member_digest`.
std::uint64_t member_hash(const host_report& value);

/// Converts a report to a member for the selection of endpoints.
member to_member(const host_report& value);

} // namespace anvillead
