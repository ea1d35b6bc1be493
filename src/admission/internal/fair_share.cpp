#include "admission/fair_share.h"

#include <algorithm>
#include <limits>

namespace anvillead {

namespace {

constexpr double smallest_weight = 1e-3;

} // namespace

void fair_share::set_weight(const organisation_id& id, double weight)
{
    accounts_[id].weight = std::max(weight, smallest_weight);
}

double fair_share::weight(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 1 : it->second.weight;
}

double fair_share::active_weight() const
{
    double sum = 0;
    for (const auto& [id, it] : accounts_) {
        sum += it.open > 0 ? it.weight : 0;
    }
    return sum;
}

void fair_share::enter(const organisation_id& id)
{
    auto& own = accounts_[id];
    if (own.open++ > 0) {
        return;
    }
    double lowest = std::numeric_limits<double>::max();
    for (const auto& [other, it] : accounts_) {
        if (it.open > 0 && other != id) {
            lowest = std::min(lowest, it.key());
        }
    }
    if (lowest < std::numeric_limits<double>::max()) {
        own.virtual_tokens = std::max(own.virtual_tokens, lowest);
    }
}

void fair_share::leave(const organisation_id& id)
{
    auto& own = accounts_[id];
    own.open = std::max(0, own.open - 1);
}

void fair_share::charge(const organisation_id& id, double delivered)
{
    auto& own = accounts_[id];
    own.delivered += delivered;
    own.virtual_tokens += delivered / own.weight;
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

double fair_share::delivered(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 0 : it->second.delivered;
}

} // namespace anvillead
