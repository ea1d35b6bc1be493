#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// Times and bounds of the membership protocol.
struct membership_options
{
    /// The first key seals datagrams, any of them opens one.
    std::vector<std::string> fleet_keys;
    /// One member is probed per period.
    milliseconds probe_period{400};
    /// Wait for a direct answer before other members are asked to probe.
    milliseconds ack_timeout{300};
    /// Wait for an answer through other members before the member is suspected.
    milliseconds indirect_timeout{700};
    /// A suspected member that does not refute within this time is dead.
    milliseconds suspicion{3000};
    /// Dead members are remembered, so that an old record cannot bring them back.
    milliseconds dead_retention{24 * 3600 * 1000};
    /// A gap between two ticks that counts as a pause of this process.
    milliseconds pause_limit{1500};
    /// Reports that an upstream is not leaving must span this time before it gets work again.
    milliseconds return_hold{5000};
    /// Tables that differ from a peer's for this long are repaired by one pull.
    milliseconds repair_after{15000};
    /// Wait between two attempts to join or to repair.
    milliseconds pull_period{1000};
    std::size_t indirect_probes = 3;
    /// Members that get urgent news (leaving, a new generation) at once.
    std::size_t urgent_fanout = 4;
    /// Longest datagram, HMAC included.
    std::size_t datagram_bytes = 1200;
    std::size_t member_limit = 4096;
    std::size_t upstream_limit = 4096;
};

} // namespace anvillead
