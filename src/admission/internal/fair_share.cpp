#include "admission/fair_share.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr double smallest_weight = 1e-3;

} // namespace

void fair_share::set_weight(const organisation_id& id, double weight)
{
    auto& own = accounts_[id];
    const double changed = std::max(weight, smallest_weight);
    active_weight_ += own.open > 0 ? changed - own.weight : 0;
    own.weight = changed;
}

double fair_share::weight(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 1 : it->second.weight;
}

void fair_share::enter(const organisation_id& id, bool backlogged)
{
    auto& own = accounts_[id];
    if (own.open++ == 0) {
        active_weight_ += own.weight;
    }
    if (!backlogged) {
        own.virtual_tokens = std::max(own.virtual_tokens, virtual_time_ - own.expected / own.weight);
    }
}

void fair_share::leave(const organisation_id& id)
{
    auto& own = accounts_[id];
    if (own.open > 0 && --own.open == 0) {
        active_weight_ -= own.weight;
    }
}

void fair_share::charge(const organisation_id& id, double delivered)
{
    auto& own = accounts_[id];
    own.delivered += delivered;
    own.virtual_tokens += delivered / own.weight;
    virtual_time_ += delivered / std::max(active_weight_, own.weight);
}

void fair_share::expect(const organisation_id& id, double change)
{
    auto& own = accounts_[id];
    own.expected = std::max(0.0, own.expected + change);
}

double fair_share::counter(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 0 : it->second.key();
}

double fair_share::lead(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 0 : it->second.virtual_tokens - virtual_time_;
}

double fair_share::delivered(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 0 : it->second.delivered;
}

} // namespace anvillead
