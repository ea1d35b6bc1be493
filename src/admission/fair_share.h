#pragma once

#include <map>

#include "core/types/ids.h"

namespace anvillead {

/// Weighted virtual token counters. The organisation with the lowest counter is served next. Virtual time is the
/// counter of an organisation that always gets exactly its share.
class fair_share
{
public:
    void set_weight(const organisation_id& id, double weight);
    double weight(const organisation_id& id) const;
    /// Sum of the weights of organisations that wait or run.
    double active_weight() const { return active_weight_; }

    /// A request arrived. Unless `backlogged`, the counter is raised to the virtual time: time in which an organisation
    /// asked for less than its share saves up no credit.
    void enter(const organisation_id& id, bool backlogged);
    /// A request was answered or its grant ended.
    void leave(const organisation_id& id);
    void charge(const organisation_id& id, double delivered);
    /// Tokens expected from running grants count until they are delivered; without them, one organisation would get
    /// every grant of a tick.
    void expect(const organisation_id& id, double change);
    double counter(const organisation_id& id) const;
    /// Tokens per unit of weight that the organisation got beyond its share.
    double lead(const organisation_id& id) const;
    double delivered(const organisation_id& id) const;

private:
    struct account
    {
        double weight = 1;
        double virtual_tokens = 0;
        double delivered = 0;
        double expected = 0;
        int open = 0;

        double key() const { return virtual_tokens + expected / weight; }
    };

    std::map<organisation_id, account> accounts_;
    double active_weight_ = 0;
    double virtual_time_ = 0;
};

} // namespace anvillead
