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
    /// Takes one request; returns the time until one is possible when a bucket is empty.
    std::optional<milliseconds> take_request(instant now, const organisation_id& id);
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
