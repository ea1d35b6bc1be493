#include "admission/scheduler_core.h"

#include <algorithm>

#include <fmt/format.h>

namespace anvillead {

namespace {

constexpr double milliseconds_per_second = 1000;
// Callers come back at least this often, so that they find engines that have returned.
constexpr double longest_absence_s = 30;

/// The part of a request that each scheduler asked for it counts until one has granted it.
double part_of(const grant_request& value)
{
    return 1.0 / std::max(1, value.schedulers);
}

} // namespace

bool scheduler_core::absent(instant now, const engine_group& group) const
{
    return group.absent_s(now) * milliseconds_per_second >= static_cast<double>(options_.absence.count());
}

double scheduler_core::predicted_absence_s(instant now, const engine_group& group)
{
    // Nothing is known of the end. A wait as long as the absence so far keeps the attempts of one caller logarithmic
    // in the length of the absence.
    return std::min(group.absent_s(now), longest_absence_s);
}

void scheduler_core::refuse_unserved(instant now, engine_group& group, scheduler_actions& actions)
{
    if (group.queue.size() == 0 || !absent(now, group)) {
        return;
    }
    // Without own engines, the request may have arrived before the view that makes this scheduler responsible.
    const auto latest = group.engines.empty() ? now - options_.absence : now;
    for (const auto& it : group.queue.take_if([&](const queued_request& at) { return at.since <= latest; })) {
        group.share.leave(it.request.organisation);
        uncharge(now, it.request);
        const auto delay = group.drain.jittered(predicted_absence_s(now, group));
        actions.push_back(send_refusal{it.gateway, {it.request.id, error_kind::no_upstream, delay}});
    }
}

void scheduler_core::uncharge(instant now, const grant_request& value)
{
    if (value.schedulers > 1) {
        limiter_.adjust_request(now, value.organisation, -part_of(value));
    }
}

std::optional<refusal> scheduler_core::early_refusal(instant now, engine_group& group, const grant_request& value,
                                                     double expected)
{
    const bool owns = !group.engines.empty();
    if (owns && absent(now, group)) {
        const auto delay = group.drain.jittered(predicted_absence_s(now, group));
        return refusal{value.id, error_kind::no_upstream, delay};
    }
    if (const auto wait = limiter_.take_request(now, value.organisation, part_of(value))) {
        const double delay = static_cast<double>(wait->count()) / milliseconds_per_second;
        return refusal{value.id, error_kind::organisation_limit, group.drain.jittered(delay)};
    }
    if (!owns) {
        // The gateways may know earlier than this scheduler that it takes over; it has no rate to predict a wait from.
        return std::nullopt;
    }
    auto longest = options_.longest_wait[static_cast<std::size_t>(value.urgency)];
    if (value.remaining.count() > 0) {
        longest = std::min(longest, value.remaining);
    }
    const double longest_s = static_cast<double>(longest.count()) / milliseconds_per_second;
    const double wait_s = group.predicted_wait_s(value.organisation, value.urgency, expected);
    // An organisation without a backlog is always queued: the prediction for its first request is not certain.
    if (wait_s > longest_s && group.queue.backlog(value.organisation, value.urgency) > 0) {
        uncharge(now, value);
        return refusal{value.id, error_kind::overloaded, group.drain.jittered(wait_s - longest_s / 2)};
    }
    return std::nullopt;
}

void scheduler_core::enqueue(instant now, const gateway_identity& gateway, const grant_request& value,
                             scheduler_actions& actions)
{
    auto& group = group_of(value.service);
    const auto& curve = lengths_.curve({value.organisation, value.workload, value.model});
    // Each scheduler that was asked serves its part of such requests: their whole length as backlog would predict a
    // wait that is too long, and refuse requests that would have been served in time.
    const double expected = curve.remaining(0, static_cast<double>(value.output_limit.count)).mean * part_of(value);
    if (const auto reason = early_refusal(now, group, value, expected)) {
        actions.push_back(send_refusal{gateway, *reason});
        return;
    }
    queued_request entry{gateway, value, now, now, error_kind::overloaded, expected};
    const auto longest = options_.longest_wait[static_cast<std::size_t>(value.urgency)];
    const bool has_deadline = value.remaining.count() > 0 && value.remaining <= longest;
    entry.expires = now + (has_deadline ? value.remaining : longest);
    entry.expiry = has_deadline ? error_kind::deadline_exceeded : error_kind::overloaded;
    group.share.enter(value.organisation, group.queue.size(value.organisation) > 0);
    group.active[value.organisation] = now;
    group.queue.push(std::move(entry));
    make_room(now, group, actions);
}

void scheduler_core::make_room(instant now, engine_group& group, scheduler_actions& actions)
{
    while (group.queue.size() > options_.queue_limit) {
        // The newest request of the organisation that is most over its share gives way.
        organisation_id worst;
        double most = -1;
        for (const auto urgency : {work_class::draft, work_class::normal, work_class::urgent}) {
            for (const auto& [id, list] : group.queue.waiting(urgency)) {
                const double part = static_cast<double>(group.queue.size(id)) / group.share.weight(id);
                if (part > most) {
                    most = part;
                    worst = id;
                }
            }
        }
        const auto dropped = group.queue.take_newest(worst);
        const double wait = group.predicted_wait_s(worst, dropped.request.urgency, 0);
        group.share.leave(worst);
        uncharge(now, dropped.request);
        actions.push_back(
            send_refusal{dropped.gateway, {dropped.request.id, error_kind::overloaded, group.drain.jittered(wait)}});
    }
}

void scheduler_core::expire_queue(instant now, scheduler_actions& actions)
{
    for (auto& [name, group] : groups_) {
        for (const auto& it : group.queue.take_expired(now)) {
            const auto& request = it.request;
            group.share.leave(request.organisation);
            uncharge(now, request);
            const double wait = group.predicted_wait_s(request.organisation, request.urgency, it.expected);
            actions.push_back(send_refusal{it.gateway, {request.id, it.expiry, group.drain.jittered(wait)}});
        }
        refuse_unserved(now, group, actions);
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

engine_state* scheduler_core::push_aside(instant now, engine_group& group, work_class served,
                                         const grant_request& request, const length_curve& curve, room_for_others room)
{
    room.pushes = true;
    auto* target = placement_.choose(now, group.engines, request, served, curve, room);
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
    auto lane = served;
    const auto& urgent = group.queue.waiting(work_class::urgent);
    if (served == work_class::draft && urgent.count(id) > 0 && over_urgent_limit(group, id)) {
        lane = work_class::urgent;
    }
    const auto& first = group.queue.waiting(lane).at(id).front();
    const length_key key{id, first.request.workload, first.request.model};
    const auto& curve = lengths_.curve(key);
    const room_for_others room{group.ahead(id), group.over_slots(id), false};
    engine_state* target = placement_.choose(now, group.engines, first.request, served, curve, room);
    if (target == nullptr && served != work_class::urgent && !room.memory) {
        target = push_aside(now, group, served, first.request, curve, room);
    }
    if (target == nullptr) {
        return false;
    }
    group.budget.earn();
    const auto taken = group.queue.pop(lane, id);
    const auto& request = taken.request;
    granted value;
    value.id = grant_id(fmt::format("{}-{}", options_.process, ++last_grant_));
    value.gateway = taken.gateway;
    value.request = request.id;
    value.engine = target->settings.id;
    value.length = key;
    value.served = served;
    value.footprint = {static_cast<double>(request.input.count), 0, static_cast<double>(request.output_limit.count)};
    value.expected = curve.remaining(0, value.footprint.limit).mean;
    value.made = now;
    value.uncharged = 1 - part_of(request);
    value.gives_way = served == work_class::draft && group.far_ahead(id);
    const int priority = placement_.priority(now, *target, served, value.gives_way);
    actions.push_back(
        send_grant{taken.gateway, {request.id, value.id, target->settings.id, target->settings.address, priority}});
    placement_.granted(now, *target, request, served);
    target->forecast.add(value.footprint, curve);
    if (!value.gives_way) {
        target->firm.add(value.footprint, curve);
    }
    start(std::move(value));
    return true;
}

void scheduler_core::admit(instant now, engine_group& group, work_class served, scheduler_actions& actions)
{
    auto open = candidates(group, served);
    const auto later = [](const auto& a, const auto& b) { return a > b; };
    std::make_heap(open.begin(), open.end(), later);
    while (!open.empty()) {
        std::pop_heap(open.begin(), open.end(), later);
        const auto id = open.back().second;
        open.pop_back();
        if (!grant_first(now, group, served, id, actions)) {
            continue;
        }
        const bool more = group.queue.waiting(served).count(id) > 0;
        if (more && !(served == work_class::urgent && over_urgent_limit(group, id))) {
            open.emplace_back(group.share.counter(id), id);
            std::push_heap(open.begin(), open.end(), later);
        }
    }
}

} // namespace anvillead
