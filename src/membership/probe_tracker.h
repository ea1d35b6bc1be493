#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Probes that wait for an answer, and probes made on behalf of other members.
class probe_tracker
{
public:
    struct relay
    {
        std::string origin;
        std::uint64_t origin_number = 0;
        instant deadline;
    };
    struct expired
    {
        /// Direct probes without an answer: other members should be asked.
        std::vector<std::pair<std::uint64_t, host_id>> silent;
        /// Neither a direct nor an indirect answer came.
        std::vector<host_id> suspected;
    };

    std::uint64_t next_number() { return ++last_number_; }
    void start(std::uint64_t number, const host_id& target, instant deadline);
    /// False when too many probes are already relayed.
    bool start_relay(std::uint64_t number, relay value);
    /// Takes an answer. Returns the relay that it has to be passed on to, if any.
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
