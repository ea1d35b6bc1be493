#pragma once

#include <map>
#include <optional>

#include "configuration/types/document.h"

namespace anvillead {

/// Token buckets per organisation for requests and tokens per second, scaled to this scheduler's share of the limits. A
/// rate of 0 means no limit.
class organisation_limiter
{
public:
    /// `share` is the fraction of the limits that this scheduler applies. When a rate changes, the bucket keeps its
    /// relative fill level, so that cells that move between schedulers do not add to the limit.
    void configure(instant now, const organisation_id& id, const organisation_limits& limits, double share = 1);
    /// Takes the fraction `part` of a request; if a bucket is empty, returns the time until that is possible. A request
    /// sent to two schedulers is charged half by each on arrival, so that both together charge it once.
    std::optional<milliseconds> take_request(instant now, const organisation_id& id, double part = 1);
    /// Charges the rest of a request whose grant is used, even if the bucket goes below zero, or refunds a negative
    /// `part`.
    void adjust_request(instant now, const organisation_id& id, double part);
    /// Charges delivered tokens. Their number is known only afterwards, so the bucket may go below zero.
    void charge(instant now, const organisation_id& id, double tokens);

private:
    struct bucket
    {
        double rate = 0;
        double level = 0;
        double capacity = 0;
        instant filled{};

        void fill(instant now);
        milliseconds until(double required_level) const;
    };

    struct entry
    {
        bucket requests;
        bucket tokens;
    };

    static void configure(instant now, bucket& value, double rate, double min_capacity);

    std::map<organisation_id, entry> entries_;
};

} // namespace anvillead
