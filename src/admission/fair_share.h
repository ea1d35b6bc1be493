#pragma once

#include <map>

#include "core/types/ids.h"

namespace anvillead {

/// Weighted virtual token counters. The organisation with the lowest counter is served next.
class fair_share
{
public:
    void set_weight(const organisation_id& id, double weight);
    double weight(const organisation_id& id) const;
    /// Sum of the weights of organisations that wait or run.
    double active_weight() const;

    /// A request arrived. An organisation that returns from idle is raised to the lowest active counter, so that idle
    /// time saves up no credit.
    void enter(const organisation_id& id);
    /// A request was answered or its grant ended.
    void leave(const organisation_id& id);
    void charge(const organisation_id& id, double delivered);
    /// Tokens expected from running grants count until they are delivered; without them, one organisation would get
    /// every grant of a tick.
    void expect(const organisation_id& id, double change);
    double counter(const organisation_id& id) const;
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
};

} // namespace anvillead
