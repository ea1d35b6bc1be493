#pragma once

#include <map>
#include <set>
#include <string>

#include "claims/idempotency_key.h"
#include "claims/types/claim.h"
#include "core/result.h"

namespace anvillead {

/// Limits of the table of bound keys.
struct bound_key_limits
{
    /// Shorter than for claims in the platform, because every key stays in memory for this time.
    key_limits keys{seconds(60 * 60), seconds(30), seconds(30)};
    /// About 40 MB at 400 bytes per entry.
    std::size_t entries = 100'000;
    milliseconds retry_after{2000};
};

/// Claims of keys that carry the prefix of this process. No other process may dispatch them, so the table needs no
/// platform calls and its `not_run` is always definite. Sans-I/O.
class bound_key_table
{
public:
    explicit bound_key_table(bound_key_limits limits) : limits_(limits) {}

    /// The caller must have verified that the prefix of the key belongs to this process.
    claim_result claim(wall_time now, claim_ticket ticket, const claim_request& request);
    claim_result look_up(wall_time now, claim_ticket ticket, const claim_request& request);
    bool holds(claim_ticket ticket) const { return held_.count(ticket) > 0; }
    void complete(claim_ticket ticket, stored_answer answer);
    void release(claim_ticket ticket) { held_.erase(ticket); }
    /// Removes the claim, so that the key can be claimed again.
    void withdraw(claim_ticket ticket);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::string body_hash;
        claim_record record;
        wall_time stamp;
    };

    result<idempotency_key> check(wall_time now, const claim_request& request);

    bound_key_limits limits_;
    std::map<std::string, entry> entries_;
    std::set<std::pair<wall_time, std::string>> entries_by_time_;
    std::map<claim_ticket, std::string> held_;
    /// Latest wall time passed in. Key ages are checked against it, so that setting the clock back does not make keys
    /// valid again whose entries were removed.
    wall_time latest_time_{};
};

} // namespace anvillead
