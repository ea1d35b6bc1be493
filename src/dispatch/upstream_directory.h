#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dispatch/types/route_table.h"
#include "dispatch/types/upstream_record.h"

namespace anvillead {

/// Retention times of the directory.
struct directory_limits
{
    /// After the platform is reachable again, an entry whose lease lapsed during the outage has this long to be renewed
    /// before it is treated as removed.
    milliseconds lease_grace{2500};
    /// The record of an upstream that has left is kept this long for streams that still run there.
    milliseconds departed_retention{30'000};
    /// After the platform has forgotten changes, an upstream that was leaving and is listed as ready again is not used
    /// for this long: if it is gone, its lease ends within it.
    milliseconds return_wait{8000};
    /// Other hosts are told for this long that an upstream leaves, until they have read the change of the directory.
    milliseconds announcement_time{2000};
};

/// The upstreams known to this host, and whether they are leaving. Sans-I/O; not thread-safe.
class upstream_directory
{
public:
    struct entry
    {
        upstream_record record;
        /// Accepts new requests.
        bool usable = true;
        /// When the upstream was first known to be leaving; unset before that.
        instant leaving_since{};
        /// The entry was removed during or shortly after an outage of the platform; treated as gone after the grace
        /// period.
        bool lapsed = false;
        instant lapsed_at{};
        /// Was leaving when the platform forgot changes, and is listed as ready since.
        bool listed_again = false;
        bool left_before_forgotten = false;
        /// Has said itself that it leaves. Holds until it has started again, whatever the platform lists.
        bool said_leaving = false;
        /// The platform does not list it any more.
        bool removed = false;
        /// Until when the upstream has said that it is cold.
        instant cold_until{};
        /// When it has started or returned, as far as this host saw it; cold for its service's warm-up time from then.
        instant returned_at{};
        /// Start of the process before the one in `record`; 0 if none is known.
        std::int64_t earlier_start_ms = 0;
    };

    /// `on_leaving` is called when an upstream starts to leave or is removed, `on_restarted` when it was
    /// restarted under the same id or has a new address.
    struct hooks
    {
        std::function<void(const upstream_id&)> on_leaving;
        std::function<void(const upstream_id&)> on_restarted;
    };

    explicit upstream_directory(directory_limits limits = {}) : limits_(limits) {}
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    /// The platform did not respond. Removals during the outage and shortly after it may be lapsed leases rather than
    /// departures. Has no effect before the first record is known: a host that has just started has no entries that
    /// could have lapsed.
    void on_platform_lost() { platform_unreachable_ = platform_unreachable_ || !entries_.empty(); }
    void on_platform_regained(instant now);

    /// The platform has come back from an older copy. Upstreams write entries that it lost again within the grace
    /// period, and an entry of the copy may say that an upstream is ready that has begun to leave since.
    void on_platform_forgot(instant now);

    /// Replaces all records by a complete listing; entries missing from it are removed.
    void replace(instant now, const std::vector<upstream_record>& records);
    void apply(instant now, const upstream_record& value);
    void remove(instant now, const upstream_id& id);
    /// Another host has reported that this upstream is leaving.
    void mark_leaving(instant now, const upstream_id& id);
    /// The upstream itself has said in an answer that it leaves.
    void on_said_leaving(instant now, const upstream_id& id);
    /// The upstream itself has said when it started. Its entry shows a restart only some time later.
    void on_start_stated(instant now, const upstream_id& id, std::int64_t started_at_ms);
    /// Applies the expiry of grace periods and erases departed upstreams.
    void expire(instant now);

    const entry* find(const upstream_id& id) const;
    const std::map<upstream_id, entry>& entries() const { return entries_; }
    /// Upstreams that have begun to leave recently, to be announced to other hosts.
    std::vector<upstream_id> recently_leaving(instant now) const;
    /// Usable upstreams of a service outside evacuated availability zones, ordered by id.
    std::vector<const entry*> usable(const service_name& service) const;
    /// Whether the upstream may get anything new: it is not leaving, and its availability zone is not evacuated.
    bool accepts(const upstream_id& id) const;
    /// All upstreams of the service that could be used are in evacuated zones, and there is at least one.
    bool all_evacuated(const service_name& service) const;

    /// Sets the availability zones whose upstreams get nothing new. Upstreams of zones that return count as cold.
    void set_evacuated(instant now, std::set<zone_name> zones);
    const std::set<zone_name>& evacuated() const { return evacuated_; }
    bool is_evacuated(const entry& value) const { return evacuated_.count(value.record.availability_zone) != 0; }

    /// Entries that appear from now on describe upstreams that have just started.
    void finish_first_listing() { listed_ = true; }
    void set_warmups(std::map<service_name, warmup_profile> value) { warmups_ = std::move(value); }
    /// The upstream itself has said how long it stays cold.
    void on_warmup_stated(instant now, const upstream_id& id, milliseconds left);
    /// Requests per second that a cold upstream tolerates from all hosts together; nothing for a warm one.
    std::optional<double> warmup_rate(instant now, const upstream_id& id) const;
    bool is_cold(instant now, const entry& value) const;
    std::size_t cold_count(instant now) const;

private:
    void begin_leaving(instant now, entry& value);
    void on_restart(instant now, entry& value, const upstream_record& record);
    bool may_be_lapsed_lease(instant now) const;

    directory_limits limits_;
    hooks hooks_;
    std::map<upstream_id, entry> entries_;
    std::set<zone_name> evacuated_;
    std::map<service_name, warmup_profile> warmups_;
    bool listed_ = false;
    bool platform_unreachable_ = false;
    instant grace_until_{};
    /// Until when upstreams that were leaving before the platform forgot changes are held back.
    instant return_until_{};
};

} // namespace anvillead
