#pragma once

#include <map>
#include <optional>

#include "configuration/types/document.h"

namespace anvillead {

/// This scheduler's part of the token buckets per organisation for requests and for tokens per second. A rate of 0
/// means no limit.
class organisation_limiter
{
public:
    /// `share` is the part of the limits that this scheduler applies. A changed rate keeps how full a bucket is: cells
    /// that move between schedulers add nothing to the limit.
    void configure(instant now, const organisation_id& id, const organisation_limits& limits, double share = 1);
    /// Takes `part` of a request; returns the time until that is possible when a bucket is empty. A request that two
    /// schedulers were asked for is charged half by each on arrival, so that both together charge it once.
    std::optional<milliseconds> take_request(instant now, const organisation_id& id, double part = 1);
    /// Takes the rest of a request whose grant is used, also when the bucket goes below zero, or gives `part` back when
    /// it is negative.
    void adjust_request(instant now, const organisation_id& id, double part);
    /// Tokens are charged when they are known, so their bucket may go below zero.
    void charge(instant now, const organisation_id& id, double tokens);

private:
    struct bucket
    {
        double rate = 0;
        double level = 0;
        double capacity = 0;
        instant filled{};

        void fill(instant now);
        milliseconds until(double level_wanted) const;
    };

    struct entry
    {
        bucket requests;
        bucket tokens;
    };

    static void configure(instant now, bucket& value, double rate, double smallest);

    std::map<organisation_id, entry> entries_;
};

} // namespace anvillead
