#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// Timeouts and limits of the membership protocol.
struct membership_options
{
    /// The first key authenticates outgoing datagrams; incoming ones may use any of the keys.
    std::vector<std::string> fleet_keys;
    /// One member is probed per period.
    milliseconds probe_period{400};
    /// Time to wait for a direct acknowledgement before other members are asked to probe.
    milliseconds ack_timeout{300};
    /// Time to wait for an acknowledgement through other members before the member is suspected.
    milliseconds indirect_timeout{700};
    /// A suspected member that does not refute the suspicion within this time is declared dead.
    milliseconds suspicion{3000};
    /// Dead members are kept for this time, so that an old record cannot revive them.
    milliseconds dead_retention{24 * 3600 * 1000};
    /// An interval between two ticks that exceeds this is treated as a pause of this process.
    milliseconds pause_limit{1500};
    /// Reports that an upstream is not leaving must span this time before it gets work again.
    milliseconds return_delay{5000};
    /// A table that has differed from the peers' for this long is repaired by one pull.
    milliseconds repair_after{15000};
    /// Interval between two pulls, to join or to repair.
    milliseconds pull_period{1000};
    /// Number of members that are asked to probe a member that does not answer.
    std::size_t indirect_probes = 3;
    /// Number of members that get urgent updates (leaving, a new generation) immediately.
    std::size_t urgent_fanout = 4;
    /// Maximum size of a datagram, including the HMAC.
    std::size_t datagram_bytes = 1200;
    std::size_t member_limit = 4096;
    std::size_t upstream_limit = 4096;
};

} // namespace anvillead
