#pragma once

#include <vector>

#include "admission/prefix_affinity.h"
#include "admission/types/engine_state.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Parameters of placement. The defaults result from the trials in docs/decisions.
struct placement_settings
{
    /// Number of standard deviations of forecast memory growth that must fit.
    double z = 2.5;
    /// Fraction of the capacity that grants may fill; the rest covers tokens not reported yet.
    double max_fill = 0.98;
    /// Lower fraction for organisations over their share, so that memory stays free for the others.
    double over_share_fill = 0.75;
    /// Fraction of an engine's slots that organisations over their share of the slots leave free, so that the others do
    /// not wait for a generation to end. It is rounded down, to none on engines with few slots.
    double slot_headroom = 0.0625;
    /// Number of urgent generations per engine for which short-batch engines are reserved.
    int urgent_per_engine = 16;
    /// The number of short-batch engines falls only once the urgent work fits into fewer engines at this fraction of
    /// `urgent_per_engine`.
    double short_hysteresis = 0.8;
    /// Maximum number of generations of other classes on a short-batch engine. It gets them only when the group's other
    /// engines are full.
    int short_batch_bulk_limit = 0;
    /// Time for which a granted prompt is expected to delay the engine's next step, and the cost of a prompt token in
    /// running generations: in the engine model, 25 prompt tokens lengthen a step as much as one more generation.
    milliseconds prompt_window{15};
    double generations_per_prompt_token = 0.04;
    /// Maximum fraction of a group's engines that are short-batch engines.
    double max_short_fraction = 0.5;
    /// Maximum rate, in prompt tokens per millisecond, at which normal and draft work is placed on one engine, so that
    /// several prompts together do not stall the batch, and the window over which the rate is averaged. A prompt longer
    /// than the window waits for an engine without other recent prompts.
    double bulk_prompt_rate = 30;
    milliseconds bulk_prompt_window{20};
    /// Fraction of the capacity in use above which a new draft gets a lower priority than other drafts.
    double low_priority_fill = 0.8;
    /// Places drafts on the fullest engine with free capacity instead of the least loaded one.
    bool pack_drafts = false;
    affinity_settings affinity;
};

/// Capacity that a request has to leave free for other organisations.
struct required_headroom
{
    /// Limits the memory use to `placement_settings::over_share_fill`.
    bool memory = false;
    /// Leaves `placement_settings::slot_headroom` free.
    bool slots = false;
    /// The request may exceed the forecast limit where preemptible drafts use the memory.
    bool allow_preemption = false;
};

/// Chooses the engine of one request among the engines of its group.
class placement
{
public:
    explicit placement(const placement_settings& settings) : settings_(settings), affinity_(settings.affinity) {}

    /// Selects the short-batch engines for `urgent_slots` concurrent urgent requests.
    void assign_short_batches(const std::vector<engine_state*>& engines, int urgent_slots) const;
    /// The engine for a request that is served in class `served`, or null if no engine can accept it now.
    engine_state* choose(instant now, const std::vector<engine_state*>& engines, const grant_request& request,
                         work_class served, const length_curve& curve, required_headroom headroom) const;
    /// Updates the state of the engine after it was granted the request.
    void record_grant(instant now, engine_state& target, const grant_request& request, work_class served);
    /// Engine priority of a grant. A preemptible draft is preempted before all others.
    int priority(instant now, const engine_state& target, work_class served, bool preemptible) const;
    /// Expected number of preemptions caused by a grant above the forecast limit.
    double expected_preemptions(instant now, const engine_state& target, const grant_request& request,
                                const length_curve& curve) const;
    /// Applies the cache events of a load report to the prefix hints.
    void observe_load(instant now, const engine_load& load);
    /// Drops the prefix hints of an engine that was lost together with its cache.
    void engine_lost(const upstream_id& engine) { affinity_.engine_lost(engine); }

private:
    /// Expected length of the engine's next step, counted in generations.
    double cost(instant now, const engine_state& target) const;
    bool ranks_before(instant now, const engine_state& a, const engine_state& b, work_class served) const;
    bool fits_memory(instant now, const engine_state& target, const grant_request& request, work_class served,
                     const length_curve& curve, required_headroom headroom) const;
    /// Time for which the request's prompt uses up `placement_settings::bulk_prompt_rate`.
    microseconds prompt_time(const grant_request& request) const;
    /// Whether the engine accepts requests of the class, now or once other generations have ended.
    bool accepts_class(const engine_state& target, work_class served) const;
    bool can_accept(instant now, const engine_state& target, const grant_request& request, work_class served,
                    required_headroom headroom) const;

    /// Moves the engines that probably hold the request's prefix to the front of `eligible`, which is sorted by
    /// preference.
    void prefer_prefix(instant now, std::vector<engine_state*>& eligible, const grant_request& request,
                       work_class served) const;

    placement_settings settings_;
    prefix_affinity affinity_;
};

} // namespace anvillead
