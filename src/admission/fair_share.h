#pragma once

#include <map>

#include "core/types/ids.h"

namespace anvillead {

/// Weighted fair queueing by virtual token counters. The organisation with the lowest counter is served next. The
/// virtual time is the counter of an organisation that always receives exactly its share.
class fair_share
{
public:
    void set_weight(const organisation_id& id, double weight);
    double weight(const organisation_id& id) const;
    /// Sum of the weights of the organisations with waiting or running requests.
    double active_weight() const { return active_weight_; }

    /// Adds an arrived request. Unless `backlogged`, the counter is raised to the virtual time, so that an organisation
    /// accumulates no credit while it requests less than its share.
    void add_request(const organisation_id& id, bool backlogged);
    /// Removes a request that was answered or whose grant ended.
    void remove_request(const organisation_id& id);
    void charge(const organisation_id& id, double delivered);
    /// Changes the tokens expected from running grants. They count towards the counter until they are delivered;
    /// otherwise one organisation would get all grants of a tick.
    void add_expected(const organisation_id& id, double change);
    double counter(const organisation_id& id) const;
    /// Tokens per unit of weight that the organisation received beyond its share.
    double excess(const organisation_id& id) const;
    double delivered(const organisation_id& id) const;

private:
    struct account
    {
        double weight = 1;
        double virtual_tokens = 0;
        double delivered = 0;
        double expected_tokens = 0;
        int open_requests = 0;

        double effective_counter() const { return virtual_tokens + expected_tokens / weight; }
    };

    std::map<organisation_id, account> accounts_;
    double active_weight_ = 0;
    double virtual_time_ = 0;
};

} // namespace anvillead
