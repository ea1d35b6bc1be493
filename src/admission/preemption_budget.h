#pragma once

namespace anvillead {

/// Limits the preemptions caused by grants above the forecast limit: each grant adds a fraction of a preemption to the
/// budget, and a grant above the limit spends its expected number of preemptions.
class preemption_budget
{
public:
    /// Preemptions added per grant. The target, a tenth of the preemptions of the best baseline, allows 0.014 to 0.042
    /// per generation in scenario flood; an engine may preempt more than once for one grant.
    static constexpr double earned_per_grant = 0.01;
    /// Maximum number of saved preemptions, which prevents a burst after a quiet period.
    static constexpr double max_saved = 2;

    void earn();
    bool covers(double expected) const { return expected <= saved_; }
    void spend(double expected) { saved_ -= expected; }
    double saved() const { return saved_; }

private:
    double saved_ = 0;
};

} // namespace anvillead
