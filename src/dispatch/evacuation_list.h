#pragma once

#include <functional>
#include <map>
#include <set>

#include "core/types/ids.h"
#include "core/types/store_revision.h"
#include "core/types/units.h"

namespace anvillead {

struct evacuation_limits
{
    /// After the store has come back from an older copy, the operator writes what it lost again within this time. Until
    /// then, neither the absence nor the presence of an older entry counts.
    milliseconds restore_time{2500};
    /// The end of an evacuation is remembered for this long; copies of the store are some seconds old.
    milliseconds end_retention{60'000};
    /// Further zones are ignored and reported: the list is held by every host and passed on between them.
    std::size_t max_zones = 256;
};

/// The evacuated availability zones as one host knows them, to be passed on to others.
struct evacuation_state
{
    /// Zones that the store lists.
    std::set<zone_name> listed;
    /// Zones that the store listed before it came back from an older copy, and that are still evacuated.
    std::set<zone_name> held;
    /// Store revision of the last change or of the first listing; unset before it.
    store_revision revision;
};

/// Availability zones whose upstreams get nothing new until the operator takes the evacuation back.
///
/// A list of a later revision replaces the known one, whichever host it comes from. While the store is silent, nothing
/// changes. Sans-I/O; not thread-safe.
class evacuation_list
{
public:
    using zones_hook = std::function<std::set<zone_name>()>;

    /// `zones_in_use` returns the zones of the fleet, which go first where there are more than the list holds.
    explicit evacuation_list(evacuation_limits limits = {}, zones_hook zones_in_use = {})
        : limits_(limits), zones_in_use_(std::move(zones_in_use))
    {}

    /// Takes over a complete list. Returns false for one that is older than the known one.
    bool replace(instant now, const evacuation_state& value);
    /// Applies one change of the store.
    void apply(instant now, const zone_name& zone, bool evacuated, store_revision revision);
    /// Ends the time in which the operator may restore entries that the store has lost.
    void expire(instant now);

    const evacuation_state& state() const { return state_; }
    /// The zones that are evacuated now.
    std::set<zone_name> in_force() const;
    /// Number of zones that were ignored because there are too many.
    std::size_t ignored() const { return ignored_; }

private:
    void set_listed(instant now, std::set<zone_name> zones);
    /// The zones that the list holds of these.
    std::set<zone_name> bounded(std::set<zone_name> zones) const;

    evacuation_limits limits_;
    zones_hook zones_in_use_;
    evacuation_state state_;
    /// When evacuations ended, as far as this host saw it.
    std::map<zone_name, instant> ended_;
    /// Zones that an older copy of the store lists although their evacuation had ended.
    std::set<zone_name> suppressed_;
    instant restore_until_{};
    std::size_t ignored_ = 0;
};

} // namespace anvillead
