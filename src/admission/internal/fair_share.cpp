#include "admission/fair_share.h"

#include <algorithm>

namespace anvillead {

namespace {

constexpr double min_weight = 1e-3;

} // namespace

void fair_share::set_weight(const organisation_id& id, double weight)
{
    auto& own = accounts_[id];
    const double changed = std::max(weight, min_weight);
    active_weight_ += own.open_requests > 0 ? changed - own.weight : 0;
    own.weight = changed;
}

double fair_share::weight(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 1 : it->second.weight;
}

void fair_share::add_request(const organisation_id& id, bool backlogged)
{
    auto& own = accounts_[id];
    if (own.open_requests++ == 0) {
        active_weight_ += own.weight;
    }
    if (!backlogged) {
        own.virtual_tokens = std::max(own.virtual_tokens, virtual_time_ - own.expected_tokens / own.weight);
    }
}

void fair_share::remove_request(const organisation_id& id)
{
    auto& own = accounts_[id];
    if (own.open_requests > 0 && --own.open_requests == 0) {
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

void fair_share::add_expected(const organisation_id& id, double change)
{
    auto& own = accounts_[id];
    own.expected_tokens = std::max(0.0, own.expected_tokens + change);
}

double fair_share::counter(const organisation_id& id) const
{
    const auto it = accounts_.find(id);
    return it == accounts_.end() ? 0 : it->second.effective_counter();
}

double fair_share::excess(const organisation_id& id) const
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
