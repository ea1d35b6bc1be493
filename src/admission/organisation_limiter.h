#pragma once

#include <map>
#include <optional>

#include "configuration/types/document.h"

namespace anvillead {

/// Token buckets per organisation for requests and for tokens per second. A rate of 0 means no limit.
class organisation_limiter
{
public:
    void configure(instant now, const organisation_id& id, const organisation_limits& limits);
    /// Takes one request; returns the time until one is possible when a bucket is empty.
    std::optional<milliseconds> take_request(instant now, const organisation_id& id);
    /// Tokens are charged when they are known, so their bucket may go below zero.
    void charge(instant now, const organisation_id& id, double tokens);

private:
    struct bucket
    {
        double rate = 0;
        double level = 0;
        instant filled{};

        void fill(instant now);
        milliseconds until(double level_wanted) const;
    };

    struct entry
    {
        bucket requests;
        bucket tokens;
    };

    static void configure(instant now, bucket& value, double rate);

    std::map<organisation_id, entry> entries_;
};

} // namespace anvillead
