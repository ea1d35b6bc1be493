#include "admission/scheduler_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr std::size_t queue_limit = 10'000;
constexpr milliseconds full_queue_retry{2000};

} // namespace

scheduler_actions scheduler_core::on_configuration(instant now, const document& value,
                                                   const std::vector<upstream_id>& owned)
{
    std::map<upstream_id, engine> engines;
    for (const auto& it : value.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& candidate : it.upstreams) {
            if (std::find(owned.begin(), owned.end(), candidate.id) == owned.end()) {
                continue;
            }
            engine entry = engines_[candidate.id];
            entry.settings = candidate;
            entry.service = it.name;
            engines.emplace(candidate.id, std::move(entry));
        }
    }
    engines_ = std::move(engines);
    return admit(now);
}

scheduler_actions scheduler_core::on_leaving(instant now, const std::vector<upstream_id>& leaving)
{
    for (auto& [id, it] : engines_) {
        it.leaving = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    }
    return admit(now);
}

scheduler_actions scheduler_core::on_request(instant now, const gateway_identity& gateway, const grant_request& value)
{
    auto& queue = queues_[static_cast<std::size_t>(value.urgency)];
    if (queue.size() >= queue_limit) {
        return {send_refusal{gateway, {value.id, error_kind::overloaded, full_queue_retry}}};
    }
    queue.push_back({gateway, value, now});
    return admit(now);
}

scheduler_actions scheduler_core::on_cancel(instant now, const gateway_identity& gateway, const request_id& request)
{
    const auto matches = [&](const auto& it) { return it.gateway == gateway && it.request.id == request; };
    for (auto& queue : queues_) {
        queue.erase(std::remove_if(queue.begin(), queue.end(), matches), queue.end());
    }
    for (const auto& [id, it] : grants_) {
        if (it.gateway == gateway && it.request == request) {
            release(grant_id(id));
            break;
        }
    }
    return admit(now);
}

scheduler_actions scheduler_core::on_progress(instant now, const gateway_identity& gateway,
                                              const progress_report& value)
{
    for (const auto& it : value.grants) {
        const auto known = grants_.find(it.id);
        if (it.state != grant_state::running) {
            release(it.id);
            continue;
        }
        const auto owner = engines_.find(it.engine);
        if (known == grants_.end() && owner != engines_.end()) {
            grants_.emplace(it.id, running{gateway, it.request, it.engine});
            ++owner->second.running;
        }
    }
    return admit(now);
}

scheduler_actions scheduler_core::on_gateway_lost(instant now, const gateway_identity& gateway)
{
    for (auto& queue : queues_) {
        queue.erase(
            std::remove_if(queue.begin(), queue.end(), [&](const waiting& it) { return it.gateway == gateway; }),
            queue.end());
    }
    std::vector<grant_id> lost;
    for (const auto& [id, it] : grants_) {
        if (it.gateway == gateway) {
            lost.push_back(id);
        }
    }
    for (const auto& it : lost) {
        release(it);
    }
    return admit(now);
}

scheduler_actions scheduler_core::on_load(instant now, const engine_load& value)
{
    const auto it = engines_.find(value.engine);
    if (it != engines_.end()) {
        it->second.load = value;
    }
    return admit(now);
}

scheduler_actions scheduler_core::on_tick(instant now)
{
    return admit(now);
}

void scheduler_core::release(const grant_id& id)
{
    const auto it = grants_.find(id);
    if (it == grants_.end()) {
        return;
    }
    const auto owner = engines_.find(it->second.engine);
    if (owner != engines_.end()) {
        --owner->second.running;
    }
    grants_.erase(it);
}

scheduler_core::engine* scheduler_core::choose(const grant_request& request)
{
    engine* best = nullptr;
    for (auto& [id, it] : engines_) {
        if (it.service != request.service || it.leaving || it.load.leaving || it.running >= it.settings.batch_limit) {
            continue;
        }
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
            continue;
        }
        if (best == nullptr || it.running < best->running) {
            best = &it;
        }
    }
    return best;
}

scheduler_actions scheduler_core::admit(instant now)
{
    scheduler_actions actions;
    for (auto& queue : queues_) {
        for (auto it = queue.begin(); it != queue.end();) {
            const auto& request = it->request;
            if (request.remaining.count() > 0 && now - it->since > request.remaining) {
                it = queue.erase(it);
                continue;
            }
            engine* target = choose(request);
            if (target == nullptr) {
                ++it;
                continue;
            }
            const grant_id id(fmt::format("{}-{}", process_, ++last_grant_));
            ++target->running;
            grants_.emplace(id, running{it->gateway, request.id, target->settings.id});
            actions.push_back(send_grant{
                it->gateway,
                {request.id, id, target->settings.id, target->settings.address, static_cast<int>(request.urgency)}});
            it = queue.erase(it);
        }
    }
    return actions;
}

} // namespace anvillead
