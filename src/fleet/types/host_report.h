#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/store_revision.h"
#include "core/types/units.h"
#include "dispatch/types/upstream_work.h"

namespace anvillead {

/// Addresses of a host that other hosts and callers use, each "address:port".
struct host_addresses
{
    /// Address that callers connect to.
    std::string frontend;
    /// Address from which other hosts fetch the configuration and the directory.
    std::string control;
    /// Address on which reports are received (UDP).
    std::string report;
};

/// State of a host that it sends to the others several times per second.
struct host_report
{
    host_id host;
    /// Identifies one start of the process. A later start is usually greater; not always, because the wall clock may be
    /// adjusted.
    std::string incarnation;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    zone_name availability_zone;
    host_addresses addresses;
    /// Speed of its network link; the hosts with the fastest links act as relays. 0 if unknown.
    int link_mbps = 0;
    /// The host accepts callers.
    bool ready = false;
    /// The host is shutting down; callers should use other hosts.
    bool leaving = false;
    /// The host reaches no upstream of some service, so it cannot serve all callers by itself.
    bool without_path = false;
    /// Version of the active configuration; 0 if there is none.
    config_generation configuration = 0;
    /// Platform revision up to which its upstream directory is current.
    store_revision directory_revision;
    /// Platform revision of its list of evacuated availability zones; unset if it has none.
    store_revision evacuation_revision;
    std::map<upstream_id, upstream_work> work;
    /// This host follows the platform's upstream directory and can reach it.
    bool platform_reachable = false;
    /// Upstreams that announced their leaving to this host while the directory could not be read.
    std::vector<upstream_id> leaving_upstreams;
    /// Report addresses of other live hosts, so that a host that starts with one contact discovers all others.
    std::vector<std::string> contacts;
    /// The host's list of live hosts has differed from its relay's for some time; the relay sends it the complete list.
    bool requests_member_list = false;
    /// The host reports to one relay, so it depends on it; otherwise, to all hosts that it knows.
    bool uses_relay = false;
};

/// Report of one host as an element of a datagram.
struct report_entry
{
    host_report report;
    /// Zone, addresses, link and contacts are omitted, and `work` contains only the upstreams whose work has changed,
    /// with their current amounts. Applies only to a full report of the same incarnation.
    bool incremental = false;
    /// The relay no longer receives reports from the host.
    bool lost = false;
    /// `work` is omitted although the host may have some, because the receiver gets sums instead.
    bool without_work = false;
};

/// Datagram that hosts exchange.
struct fleet_datagram
{
    host_id sender;
    zone_name sender_zone;
    /// The only entry is the sender's own report. Otherwise, the sender forwards reports that it has received.
    bool direct = true;
    std::vector<report_entry> entries;
    /// The sender will send to this receiver in each period, so a silence means that the sender is lost.
    bool repeats = true;
};

/// What a relay tells the hosts that report to it, in each period and after important changes. One datagram.
struct fleet_summary
{
    host_id relay;
    /// Start of the relay's process, and a number that increases within it.
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Hash of the relay's list of live hosts, by which a host notices that its own list differs.
    std::uint64_t member_digest = 0;
    /// Versions of the platform's state that the relay holds and hands out.
    config_generation configuration = 0;
    store_revision directory_revision;
    store_revision evacuation_revision;
    /// At least one host follows the platform's upstream directory and can reach it.
    bool platform_reachable = false;
    /// Work of the whole fleet on upstreams where it has changed; an amount of zero means that all work has ended.
    std::map<upstream_id, upstream_work> work;
    /// Upstreams that have begun to leave in the last seconds.
    std::vector<upstream_id> leaving_upstreams;
};

} // namespace anvillead
