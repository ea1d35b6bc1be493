#pragma once

#include <optional>

#include "admission/fair_share.h"
#include "admission/preemption_budget.h"
#include "admission/request_queue.h"
#include "admission/retry_advice.h"
#include "admission/types/engine_state.h"
#include "admission/urgent_reserve.h"

namespace anvillead {

/// Queue, shares and reserve of one engine service.
struct engine_group
{
    explicit engine_group(std::uint64_t seed) : drain(seed) {}

    std::vector<engine_state*> engines;
    request_queue queue;
    fair_share share;
    urgent_reserve reserve;
    retry_advice drain;
    preemption_budget budget;
    /// Running urgent grants per organisation.
    std::map<organisation_id, int> urgent;
    int urgent_total = 0;
    /// Running grants per organisation.
    std::map<organisation_id, int> running;
    /// Last request of each organisation that is or was recently active.
    std::map<organisation_id, instant> active;
    /// Sum of the weights of `active`, and the slots of usable engines, when last observed.
    double recent_weight = 0;
    double slots = 0;
    double delivered = 0;
    /// Since when every engine is gone.
    std::optional<instant> absent_since;

    /// Largest number of concurrent urgent generations of one organisation: as configured, or by share of a quarter of
    /// the group's slots. Urgent requests beyond it are served as drafts.
    int urgent_limit(const organisation_id& id, const organisation* settings) const;
    /// The organisation has got clearly more than its share while others are active: it must leave room for them.
    bool ahead(const organisation_id& id) const;
    /// The organisation is so far ahead that its new drafts give way to the others' work in the engines.
    bool far_ahead(const organisation_id& id) const;
    /// The organisation runs more generations than its share of the slots, while others are or were recently active.
    bool over_slots(const organisation_id& id) const;
    void observe_slots(instant now);
    void observe_absence(instant now);
    /// For how long the group has had no engine that takes work, in seconds; 0 while there is one.
    double absent_s(instant now) const;
    /// Tokens per second that the group is taken to deliver before that was measured.
    double assumed_rate() const;
    /// Seconds until the organisation's backlog in this class and more urgent ones is served at its share.
    double predicted_wait_s(const organisation_id& id, work_class urgency, double added) const;

private:
    /// Lead of the organisation in tokens of the whole group.
    double lead_tokens(const organisation_id& id) const;
};

} // namespace anvillead
