#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace anvillead {

namespace {

// Each member sends an update this many times the binary logarithm of the number of live members.
constexpr double retransmit_multiplier = 3;
// Leaving updates are repeated for this time in acknowledgements to members whose table differs. The gossip queue sends
// an update a bounded number of times, all of which may be lost when one direction of a member's path is broken.
constexpr milliseconds leaving_repeat_period{5000};
constexpr std::size_t recent_leaving_limit = 32;

/// True if a gateway or scheduler of the host started, restarted or stopped, so that cells and callers have to move.
bool roles_differ(const member& a, const member& b)
{
    return a.addresses.gateway_http != b.addresses.gateway_http ||
           a.addresses.scheduler_link != b.addresses.scheduler_link || a.gateway_leaving != b.gateway_leaving ||
           a.scheduler_leaving != b.scheduler_leaving;
}

/// True if the others must stop sending new work to this member.
bool is_urgent(const member& value)
{
    return value.leaving || value.gateway_leaving || value.scheduler_leaving;
}

} // namespace

void membership::apply_updates(instant now, const gossip& updates)
{
    for (const auto& it : updates.members) {
        apply_member(now, it);
    }
    for (const auto& it : updates.upstreams) {
        apply_upstream_status(now, it);
    }
}

void membership::apply_member(instant now, const member& value, bool disseminate)
{
    if (value.host == self_.host) {
        apply_self(now, value);
        return;
    }
    const auto* found = table_.find(value.host);
    const member before = found == nullptr ? member{} : *found;
    if (!table_.merge(value, now)) {
        return;
    }
    const auto& after = *table_.find(value.host);
    if (disseminate) {
        queue_.push(value.host, is_urgent(after));
    }
    const bool is_new = before.number != after.number;
    if (is_new || effective_state(before) != effective_state(after)) {
        actions_.emplace_back(member_changed{after, effective_state(before), is_new});
    }
    if (after.leaving && !before.leaving) {
        record_leaving(now, value.host);
    }
    urgent_ = urgent_ || (after.leaving && !before.leaving) || (!is_new && roles_differ(before, after));
}

void membership::apply_self(instant now, const member& value)
{
    if (value.number > self_.number) {
        // The clock was set back between two starts of this host, so its new incarnation was lower than the previous
        // one.
        self_.number = value.number + 1;
        publish_self(now, true);
        return;
    }
    if (value.number < self_.number) {
        return;
    }
    if (value.leaving && !self_.leaving) {
        self_.leaving = true;
        publish_self(now, true);
    }
    const bool is_suspected = value.state == member_state::suspect || value.state == member_state::dead;
    if (value.version > self_.version || (is_suspected && value.version == self_.version)) {
        self_.version = value.version;
        publish_self(now, is_suspected);
    }
}

void membership::apply_upstream_status(instant now, const upstream_leave_status& value)
{
    const auto* found = upstreams_.find({value.id, value.source});
    const bool was_leaving = found != nullptr && found->leaving;
    if (!upstreams_.merge(value)) {
        return;
    }
    queue_.push(upstream_leave_table::key{value.id, value.source}, true);
    urgent_ = urgent_ || value.leaving != was_leaving;
    if (value.leaving != was_leaving) {
        record_leaving(now, upstream_leave_table::key{value.id, value.source});
        actions_.emplace_back(upstream_status_changed{value});
    }
}

void membership::publish_self(instant now, bool urgent)
{
    ++self_.version;
    table_.replace(self_, now);
    queue_.push(self_.host, is_urgent(self_));
    urgent_ = urgent_ || urgent;
}

membership_actions membership::update_self(instant now, const std::function<void(member&)>& change)
{
    auto next = self_;
    change(next);
    const bool is_urgent_change = roles_differ(next, self_) || (next.leaving && !self_.leaving);
    next.leaving = next.leaving || self_.leaving;
    self_ = next;
    publish_self(now, is_urgent_change);
    if (urgent_) {
        send_urgent_updates(now);
    }
    return take_actions();
}

membership_actions membership::leave(instant now)
{
    return update_self(now, [](member& it) { it.leaving = true; });
}

membership_actions membership::set_generation(instant now, config_generation generation)
{
    if (generation <= generation_) {
        return {};
    }
    generation_ = generation;
    self_.generation = generation;
    table_.update_generation(self_.host, generation);
    send_urgent_updates(now);
    return take_actions();
}

membership_actions membership::report_upstream(instant now, const upstream_leave_table::key& id, bool leaving)
{
    if (!upstreams_.report(now, id, leaving)) {
        return {};
    }
    queue_.push(id, true);
    record_leaving(now, id);
    actions_.emplace_back(upstream_status_changed{*upstreams_.find(id)});
    send_urgent_updates(now);
    return take_actions();
}

void membership::record_leaving(instant now, gossip_queue::key id)
{
    recent_leaving_.emplace_back(now, std::move(id));
    if (recent_leaving_.size() > recent_leaving_limit) {
        recent_leaving_.pop_front();
    }
}

std::vector<gossip_queue::key> membership::recent_leaving(instant now)
{
    while (!recent_leaving_.empty() && now - recent_leaving_.front().first > leaving_repeat_period) {
        recent_leaving_.pop_front();
    }
    std::vector<gossip_queue::key> out;
    out.reserve(recent_leaving_.size());
    for (const auto& [at, id] : recent_leaving_) {
        out.push_back(id);
    }
    return out;
}

std::size_t membership::retransmit_limit() const
{
    return static_cast<std::size_t>(
        std::ceil(retransmit_multiplier * std::log2(static_cast<double>(live_count()) + 1)));
}

std::size_t membership::live_count() const
{
    return static_cast<std::size_t>(std::count_if(table_.entries().begin(), table_.entries().end(), [](const auto& it) {
        return it.second.record.state != member_state::dead;
    }));
}

std::vector<member> membership::members_since(std::uint64_t revision) const
{
    std::vector<member> out;
    for (const auto& [host, it] : table_.entries()) {
        if (it.revision <= revision) {
            continue;
        }
        out.push_back(it.record);
        out.back().state = effective_state(it.record);
    }
    return out;
}

} // namespace anvillead
