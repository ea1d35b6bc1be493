#pragma once

#include <vector>

#include "admission/types/engine_load.h"
#include "admission/types/scheduler_action.h"
#include "admission/types/scheduler_options.h"
#include "configuration/types/document.h"

namespace anvillead {

/// Decides for one scheduler when and on which engine each request starts. Performs no I/O: takes the time, messages
/// and load reports, and returns actions in the order in which they must be carried out. Every request gets exactly one
/// final answer.
class ischeduler_core
{
public:
    virtual ~ischeduler_core() = default;

    /// Applies a new configuration; `owned` are the engines that this scheduler is responsible for.
    virtual scheduler_actions on_configuration(instant now, const document& value,
                                               const std::vector<upstream_id>& owned) = 0;
    /// Replaces the set of engines that are leaving; they get no new work.
    virtual scheduler_actions on_leaving(instant now, const std::vector<upstream_id>& leaving) = 0;
    /// Sets the number of gateways whose complete reports end a takeover.
    virtual void on_gateway_count(std::size_t count) = 0;
    virtual scheduler_actions on_request(instant now, const gateway_identity& gateway, const grant_request& value) = 0;
    virtual scheduler_actions on_cancel(instant now, const gateway_identity& gateway, const grant_cancel& value) = 0;
    virtual scheduler_actions on_progress(instant now, const gateway_identity& gateway,
                                          const progress_report& value) = 0;
    virtual scheduler_actions on_gateway_lost(instant now, const gateway_identity& gateway) = 0;
    virtual scheduler_actions on_load(instant now, const engine_load& value) = 0;
    /// Called every few tens of milliseconds.
    virtual scheduler_actions on_tick(instant now) = 0;
    virtual scheduler_statistics figures() const = 0;
};

} // namespace anvillead
