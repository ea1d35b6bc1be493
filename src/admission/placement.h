#pragma once

#include <vector>

#include "admission/prefix_affinity.h"
#include "admission/types/engine_state.h"
#include "messages/types/messages.h"

namespace anvillead {

/// Numbers that shape placement. The defaults are the result of the rounds in docs/decisions.
struct placement_settings
{
    /// Standard deviations of memory growth that must fit.
    double z = 2.5;
    /// Part of the capacity that grants may fill; the rest covers tokens not yet reported.
    double fill = 0.98;
    /// The same for organisations that are ahead of their share, so that the others find room at once.
    double ahead_fill = 0.75;
    /// Part of an engine's slots that organisations with more than their share of the slots leave to the others, so
    /// that those need not wait for a generation to end. Engines with few slots leave none.
    double slot_room = 0.0625;
    /// Urgent generations per engine for which engines are kept short.
    int urgent_per_engine = 16;
    /// The number of short engines falls only when this part of the urgent work would still fit.
    double short_hysteresis = 0.8;
    /// Generations of other classes that a short engine takes while the group's other engines are full.
    int short_batch_bulk = 0;
    /// Time for which a granted prompt is expected to delay the engine's next step, and its weight against running
    /// generations: in the engine model, 25 prompt tokens lengthen a step as much as one more generation.
    milliseconds prompt_window{15};
    double generations_per_prompt_token = 0.04;
    /// Largest part of a group's engines that are kept short.
    double largest_short_part = 0.5;
    /// Prompt tokens per millisecond that normal and draft work may bring to one engine, so that their prompts do not
    /// stall the batch together, and the time over which several prompts share that rate. A longer prompt waits for an
    /// engine without others.
    double bulk_prompt_rate = 30;
    milliseconds bulk_prompt_window{20};
    /// A new draft gets a priority below all others from this fill on.
    double low_priority_fill = 0.8;
    /// Drafts go to the fullest engine with room instead of the emptiest.
    bool pack = false;
    affinity_settings affinity;
};

/// What a request's organisation has to leave to the others.
struct room_for_others
{
    /// Part of the memory, as in `ahead_fill`.
    bool memory = false;
    /// Part of the slots, as in `slot_room`.
    bool slots = false;
    /// The request may exceed the forecast limit where drafts that give way hold the memory.
    bool pushes = false;
};

/// Chooses the engine of one request among the engines of its group.
class placement
{
public:
    explicit placement(const placement_settings& settings) : settings_(settings), affinity_(settings.affinity) {}

    /// Marks the engines that are kept short for `urgent_slots` concurrent urgent requests.
    void assign_short(const std::vector<engine_state*>& engines, int urgent_slots) const;
    /// The engine for a request that is served in class `served`, or null when none may take it now.
    engine_state* choose(instant now, const std::vector<engine_state*>& engines, const grant_request& request,
                         work_class served, const length_curve& curve, room_for_others room) const;
    /// Notes that the engine got the request.
    void granted(instant now, engine_state& target, const grant_request& request, work_class served);
    /// Engine priority of a grant. A draft that gives way is preempted before all others.
    int priority(instant now, const engine_state& target, work_class served, bool gives_way) const;
    /// Preemptions expected from a grant above the forecast limit.
    double expected_preemptions(instant now, const engine_state& target, const grant_request& request,
                                const length_curve& curve) const;
    /// Learns from the cache events of a load report.
    void reported(instant now, const engine_load& load);
    /// The engine is gone and its prefix cache with it.
    void engine_lost(const upstream_id& engine) { affinity_.engine_lost(engine); }

private:
    /// Expected length of the engine's next step, counted in generations.
    double cost(instant now, const engine_state& target) const;
    bool better(instant now, const engine_state& a, const engine_state& b, work_class served) const;
    bool fits(instant now, const engine_state& target, const grant_request& request, work_class served,
              const length_curve& curve, room_for_others room) const;
    /// Time for which the request's prompt takes up the engine's rate of prompt tokens.
    microseconds prompt_time(const grant_request& request) const;
    /// Whether the engine takes requests of the class at all, now or when others have ended.
    bool takes_class(const engine_state& target, work_class served) const;
    bool open_to(instant now, const engine_state& target, const grant_request& request, work_class served,
                 room_for_others room) const;

    /// Moves engines that probably hold the request's prefix to the front of `open`, which is in order of preference.
    void prefer_prefix(instant now, std::vector<engine_state*>& open, const grant_request& request,
                       work_class served) const;

    placement_settings settings_;
    prefix_affinity affinity_;
};

} // namespace anvillead
