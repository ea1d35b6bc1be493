#include "admission/scheduler_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr double milliseconds_per_second = 1000;
// Upper bound of the retry delay in an outage before jitter, so that callers soon notice engines that have returned.
constexpr double max_outage_delay_s = 30;

/// Fraction of a request that each of the schedulers asked counts until one of them has granted it.
double request_fraction(const grant_request& value)
{
    return 1.0 / std::max(1, value.schedulers);
}

} // namespace

bool scheduler_core::in_outage(instant now, const engine_group& group) const
{
    return group.outage_s(now) * milliseconds_per_second >= static_cast<double>(options_.outage_timeout.count());
}

double scheduler_core::predicted_outage_s(instant now, const engine_group& group)
{
    // The end of an outage is unknown. Waiting for as long as it has lasted so far keeps the number of attempts of one
    // caller logarithmic in its duration.
    return std::min(group.outage_s(now), max_outage_delay_s);
}

void scheduler_core::refuse_without_engines(instant now, engine_group& group, scheduler_actions& actions)
{
    if (group.queue.size() == 0 || !in_outage(now, group)) {
        return;
    }
    // Without engines, this scheduler may not have received the view yet that makes it responsible for the request, so
    // the request itself has to have waited.
    const auto latest = group.engines.empty() ? now - options_.outage_timeout : now;
    for (const auto& it : group.queue.take_if([&](const queued_request& at) { return at.queued_at <= latest; })) {
        group.share.remove_request(it.request.organisation);
        refund_request(now, it.request);
        const auto delay = group.retry_estimator.jittered(predicted_outage_s(now, group));
        actions.push_back(send_refusal{it.gateway, {it.request.id, error_kind::no_upstream, delay}});
    }
}

void scheduler_core::refund_request(instant now, const grant_request& value)
{
    if (value.schedulers > 1) {
        limiter_.adjust_request(now, value.organisation, -request_fraction(value));
    }
}

std::optional<refusal> scheduler_core::early_refusal(instant now, engine_group& group, const grant_request& value,
                                                     double expected)
{
    const bool owns = !group.engines.empty();
    if (owns && in_outage(now, group)) {
        const auto delay = group.retry_estimator.jittered(predicted_outage_s(now, group));
        return refusal{value.id, error_kind::no_upstream, delay};
    }
    if (const auto wait = limiter_.take_request(now, value.organisation, request_fraction(value))) {
        const double delay = static_cast<double>(wait->count()) / milliseconds_per_second;
        return refusal{value.id, error_kind::organisation_limit, group.retry_estimator.jittered(delay)};
    }
    if (!owns) {
        // The gateways may know of a takeover before this scheduler does; it has no throughput yet to predict a wait.
        return std::nullopt;
    }
    auto longest = options_.max_wait[static_cast<std::size_t>(value.urgency)];
    if (value.remaining.count() > 0) {
        longest = std::min(longest, value.remaining);
    }
    const double longest_s = static_cast<double>(longest.count()) / milliseconds_per_second;
    const double wait_s = group.predicted_wait_s(value.organisation, value.urgency, expected);
    // The prediction is uncertain for an organisation's first request, so one without a backlog is always queued.
    if (wait_s > longest_s && group.queue.backlog(value.organisation, value.urgency) > 0) {
        refund_request(now, value);
        return refusal{value.id, error_kind::overloaded, group.retry_estimator.jittered(wait_s - longest_s / 2)};
    }
    return std::nullopt;
}

void scheduler_core::enqueue(instant now, const gateway_identity& gateway, const grant_request& value,
                             scheduler_actions& actions)
{
    auto& group = group_of(value.service);
    const auto& curve = lengths_.curve({value.organisation, value.workload, value.model});
    // Each scheduler that was asked serves a fraction of such requests. Counting their whole length as backlog would
    // overestimate the wait and refuse requests that would have been served in time.
    const double expected =
        curve.remaining(0, static_cast<double>(value.output_limit.count)).mean * request_fraction(value);
    if (const auto reason = early_refusal(now, group, value, expected)) {
        actions.push_back(send_refusal{gateway, *reason});
        return;
    }
    queued_request entry{gateway, value, now, now, error_kind::overloaded, expected};
    const auto longest = options_.max_wait[static_cast<std::size_t>(value.urgency)];
    const bool has_deadline = value.remaining.count() > 0 && value.remaining <= longest;
    entry.expires_at = now + (has_deadline ? value.remaining : longest);
    entry.expiry_error = has_deadline ? error_kind::deadline_exceeded : error_kind::overloaded;
    group.share.add_request(value.organisation, group.queue.size(value.organisation) > 0);
    group.last_request[value.organisation] = now;
    group.queue.push(std::move(entry));
    enforce_queue_limit(now, group, actions);
}

void scheduler_core::enforce_queue_limit(instant now, engine_group& group, scheduler_actions& actions)
{
    while (group.queue.size() > options_.queue_limit) {
        // Drops the newest request of the organisation with the largest number of queued requests per weight.
        organisation_id largest;
        double most = -1;
        for (const auto urgency : {work_class::draft, work_class::normal, work_class::urgent}) {
            for (const auto& [id, list] : group.queue.waiting(urgency)) {
                const double queued_per_weight = static_cast<double>(group.queue.size(id)) / group.share.weight(id);
                if (queued_per_weight > most) {
                    most = queued_per_weight;
                    largest = id;
                }
            }
        }
        const auto dropped = group.queue.take_newest(largest);
        const double wait = group.predicted_wait_s(largest, dropped.request.urgency, 0);
        group.share.remove_request(largest);
        refund_request(now, dropped.request);
        actions.push_back(send_refusal{
            dropped.gateway, {dropped.request.id, error_kind::overloaded, group.retry_estimator.jittered(wait)}});
    }
}

void scheduler_core::expire_queue(instant now, scheduler_actions& actions)
{
    for (auto& [name, group] : groups_) {
        for (const auto& it : group.queue.take_expired(now)) {
            const auto& request = it.request;
            group.share.remove_request(request.organisation);
            refund_request(now, request);
            const double wait = group.predicted_wait_s(request.organisation, request.urgency, it.expected_tokens);
            actions.push_back(
                send_refusal{it.gateway, {request.id, it.expiry_error, group.retry_estimator.jittered(wait)}});
        }
        refuse_without_engines(now, group, actions);
    }
}

bool scheduler_core::over_urgent_limit(const engine_group& group, const organisation_id& id) const
{
    const auto it = group.urgent.find(id);
    return it != group.urgent.end() && it->second >= group.urgent_limit(id, configuration_.find_organisation(id));
}

std::vector<std::pair<double, organisation_id>> scheduler_core::candidates(const engine_group& group,
                                                                           work_class served) const
{
    std::vector<std::pair<double, organisation_id>> out;
    std::set<organisation_id> seen;
    const auto add = [&](const organisation_id& id) {
        if (seen.insert(id).second) {
            out.emplace_back(group.share.counter(id), id);
        }
    };
    for (const auto& [id, list] : group.queue.waiting(work_class::urgent)) {
        const bool over = over_urgent_limit(group, id);
        if ((served == work_class::urgent && !over) || (served == work_class::draft && over)) {
            add(id);
        }
    }
    if (served != work_class::urgent) {
        for (const auto& [id, list] : group.queue.waiting(served)) {
            add(id);
        }
    }
    return out;
}

engine_state* scheduler_core::choose_with_preemption(instant now, engine_group& group, work_class served,
                                                     const grant_request& request, const length_curve& curve,
                                                     required_headroom headroom)
{
    headroom.allow_preemption = true;
    auto* target = placement_.choose(now, group.engines, request, served, curve, headroom);
    if (target == nullptr) {
        return nullptr;
    }
    const double expected = placement_.expected_preemptions(now, *target, request, curve);
    if (!group.budget.covers(expected)) {
        return nullptr;
    }
    group.budget.spend(expected);
    return target;
}

bool scheduler_core::grant_first(instant now, engine_group& group, work_class served, const organisation_id& id,
                                 scheduler_actions& actions)
{
    auto queue_class = served;
    const auto& urgent = group.queue.waiting(work_class::urgent);
    if (served == work_class::draft && urgent.count(id) > 0 && over_urgent_limit(group, id)) {
        queue_class = work_class::urgent;
    }
    const auto& first = group.queue.waiting(queue_class).at(id).front();
    const length_key key{id, first.request.workload, first.request.model};
    const auto& curve = lengths_.curve(key);
    const required_headroom headroom{group.over_share(id), group.over_slot_share(id), false};
    engine_state* target = placement_.choose(now, group.engines, first.request, served, curve, headroom);
    if (target == nullptr && served != work_class::urgent && !headroom.memory) {
        target = choose_with_preemption(now, group, served, first.request, curve, headroom);
    }
    if (target == nullptr) {
        return false;
    }
    group.budget.earn();
    const auto taken = group.queue.pop(queue_class, id);
    const auto& request = taken.request;
    grant_record value;
    value.id = grant_id(fmt::format("{}-{}", options_.process, ++last_grant_));
    value.gateway = taken.gateway;
    value.request = request.id;
    value.engine = target->settings.id;
    value.length = key;
    value.served = served;
    value.footprint = {static_cast<double>(request.input.count), 0, static_cast<double>(request.output_limit.count)};
    value.expected_tokens = curve.remaining(0, value.footprint.limit).mean;
    value.granted_at = now;
    value.uncharged = 1 - request_fraction(request);
    value.preemptible = served == work_class::draft && group.far_over_share(id);
    const int priority = placement_.priority(now, *target, served, value.preemptible);
    actions.push_back(
        send_grant{taken.gateway, {request.id, value.id, target->settings.id, target->settings.address, priority}});
    placement_.record_grant(now, *target, request, served);
    target->forecast.add(value.footprint, curve);
    if (!value.preemptible) {
        target->non_preemptible_forecast.add(value.footprint, curve);
    }
    start_grant(std::move(value));
    return true;
}

void scheduler_core::admit(instant now, engine_group& group, work_class served, scheduler_actions& actions)
{
    auto heap = candidates(group, served);
    const auto higher_counter = [](const auto& a, const auto& b) { return a > b; };
    std::make_heap(heap.begin(), heap.end(), higher_counter);
    while (!heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), higher_counter);
        const auto id = heap.back().second;
        heap.pop_back();
        if (!grant_first(now, group, served, id, actions)) {
            continue;
        }
        const bool more = group.queue.waiting(served).count(id) > 0;
        if (more && !(served == work_class::urgent && over_urgent_limit(group, id))) {
            heap.emplace_back(group.share.counter(id), id);
            std::push_heap(heap.begin(), heap.end(), higher_counter);
        }
    }
}

} // namespace anvillead
