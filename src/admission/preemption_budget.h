#pragma once

namespace anvillead {

/// Bounds how many preemptions grants above the forecast limit may cause: each grant earns a part of one, and a grant
/// above the limit spends its expected number.
class preemption_budget
{
public:
    /// Preemptions earned by each grant. The target of a tenth of the best baseline's allows 0.014 to 0.042 per
    /// generation in scenario flood; an engine may preempt more than once for one grant.
    static constexpr double per_grant = 0.01;
    /// Preemptions that can be saved up, so that a quiet time does not allow a burst.
    static constexpr double most = 2;

    void earn();
    bool covers(double expected) const { return expected <= saved_; }
    void spend(double expected) { saved_ -= expected; }
    double saved() const { return saved_; }

private:
    double saved_ = 0;
};

} // namespace anvillead
