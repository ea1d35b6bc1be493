#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Tracks the probes that wait for an acknowledgement, and the probes that are relayed for other members.
class probe_tracker
{
public:
    /// A probe that another member requested.
    struct relay
    {
        std::string origin;
        std::uint64_t origin_number = 0;
        instant deadline;
    };
    struct expired
    {
        /// Direct probes without an acknowledgement; other members should be asked to probe the target.
        std::vector<std::pair<std::uint64_t, host_id>> unanswered;
        /// Targets that answered neither directly nor indirectly.
        std::vector<host_id> suspected;
    };

    std::uint64_t next_number() { return ++last_number_; }
    void start(std::uint64_t number, const host_id& target, instant deadline);
    /// Returns false if too many probes are already relayed.
    bool start_relay(std::uint64_t number, relay value);
    /// Handles an acknowledgement. Returns the relay to which it must be forwarded, if any.
    std::optional<relay> acknowledge(std::uint64_t number, const host_id& from);
    expired expire(instant now, milliseconds indirect_timeout);
    void clear();

private:
    struct pending
    {
        host_id target;
        instant deadline;
        bool indirect = false;
    };

    std::map<std::uint64_t, pending> pending_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t last_number_ = 0;
};

} // namespace anvillead
