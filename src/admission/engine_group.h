#pragma once

#include <optional>

#include "admission/fair_share.h"
#include "admission/preemption_budget.h"
#include "admission/request_queue.h"
#include "admission/retry_after_estimator.h"
#include "admission/types/engine_state.h"
#include "admission/urgent_reserve.h"

namespace anvillead {

/// Scheduling state of one engine service: its engines, request queue, fair shares and reserve for urgent work.
struct engine_group
{
    explicit engine_group(std::uint64_t seed) : retry_estimator(seed) {}

    std::vector<engine_state*> engines;
    request_queue queue;
    fair_share share;
    urgent_reserve reserve;
    retry_after_estimator retry_estimator;
    preemption_budget budget;
    /// Running urgent grants per organisation.
    std::map<organisation_id, int> urgent;
    int urgent_total = 0;
    /// Running grants per organisation.
    std::map<organisation_id, int> running;
    /// Arrival of the last request of each organisation that is or was recently active.
    std::map<organisation_id, instant> last_request;
    /// Sum of the weights of the organisations in `last_request`, and slots of the usable engines, as of the last
    /// observation.
    double recent_weight = 0;
    double slots = 0;
    double delivered_tokens = 0;
    /// Start of the current outage, in which no engine is in service.
    std::optional<instant> outage_start;

    /// Maximum number of concurrent urgent generations of one organisation: as configured, or its share of a quarter of
    /// the group's slots. Urgent requests beyond the limit are served as drafts.
    int urgent_limit(const organisation_id& id, const organisation* settings) const;
    /// The organisation has received clearly more than its share while others are active; it has to leave memory free
    /// for them.
    bool over_share(const organisation_id& id) const;
    /// The organisation is so far over its share that its new drafts become preemptible.
    bool far_over_share(const organisation_id& id) const;
    /// The organisation runs more generations than its share of the slots, while others are or were recently active.
    bool over_slot_share(const organisation_id& id) const;
    void observe_slots(instant now);
    void observe_outage(instant now);
    /// Duration of the current outage in seconds; 0 while an engine is in service.
    double outage_s(instant now) const;
    /// Assumed throughput of the group in tokens per second, used until it has been measured.
    double assumed_rate() const;
    /// Predicted time in seconds to serve `added` tokens after the organisation's backlog in this and more urgent
    /// classes, at its share of the throughput.
    double predicted_wait_s(const organisation_id& id, work_class urgency, double added) const;

private:
    /// `fair_share::excess` of the organisation, converted to tokens of the whole group.
    double excess_tokens(const organisation_id& id) const;
};

} // namespace anvillead
