#include "apps/agent/local_publisher.h"

#include <algorithm>

#include "apps/common/control_traffic.h"

namespace anvillead {

namespace {

// A process that receives no view for 1 s connects to another agent.
constexpr milliseconds heartbeat_period{300};
// Processes report every 500 ms.
constexpr milliseconds process_timeout{2000};
// Time for a process to reconnect before its addresses are withdrawn from the other hosts.
constexpr milliseconds reconnection_grace{700};

} // namespace

local_publisher::local_publisher(host_id host, metrics& counters, hooks callbacks)
    : host_(std::move(host)), counters_(counters), hooks_(std::move(callbacks))
{}

bool local_publisher::is_local(const link_ptr& link) const
{
    // Processes of other hosts connect when their own agent does not respond.
    const auto& peer = link->peer();
    const auto separator = peer.find('/');
    return peer.compare(separator + 1, peer.rfind('/') - separator - 1, host_.str()) == 0;
}

void local_publisher::on_link_closed(instant now, const link_ptr& link)
{
    links_.erase(link);
    update_roles(now);
}

void local_publisher::on_report(instant now, const link_ptr& link, const process_report& value)
{
    auto& state = links_[link];
    const bool is_first = state.report.role.empty();
    state.report = value;
    state.last_report = now;
    state.generation = std::max(state.generation, value.generation);
    update_roles(now);
    if (is_first) {
        publish(now, link);
    }
}

void local_publisher::on_configuration_pull(instant now, const link_ptr& link, config_generation known_generation)
{
    links_[link].generation = known_generation;
    publish(now, link);
}

void local_publisher::update_roles(instant now)
{
    local_roles next;
    bool gateway_reported = false;
    for (const auto& [link, state] : links_) {
        if (!is_local(link) || now - state.last_report > process_timeout) {
            continue;
        }
        if (state.report.role == "gateway") {
            gateway_reported = true;
            // A gateway without a configuration cannot serve callers yet, so its HTTP address is not published.
            next.gateway_http = state.report.generation > 0 ? state.report.http_address : std::string();
            next.gateway_link = state.report.link_address;
            next.gateway_leaving = state.report.leaving;
            gateway_last_seen_ = now;
        } else if (state.report.role == "scheduler") {
            next.scheduler_link = state.report.link_address;
            next.scheduler_leaving = state.report.leaving;
            scheduler_last_seen_ = now;
        }
    }
    // A short reconnection must not withdraw the process from the other hosts.
    if (!gateway_reported && now - gateway_last_seen_ < reconnection_grace) {
        next.gateway_http = roles_.gateway_http;
        next.gateway_link = roles_.gateway_link;
        next.gateway_leaving = roles_.gateway_leaving;
    }
    if (next.scheduler_link.empty() && now - scheduler_last_seen_ < reconnection_grace) {
        next.scheduler_link = roles_.scheduler_link;
        next.scheduler_leaving = roles_.scheduler_leaving;
    }
    const bool changed = next.gateway_http != roles_.gateway_http || next.gateway_link != roles_.gateway_link ||
                         next.scheduler_link != roles_.scheduler_link ||
                         next.gateway_leaving != roles_.gateway_leaving ||
                         next.scheduler_leaving != roles_.scheduler_leaving;
    roles_ = next;
    if (changed) {
        hooks_.on_roles_changed();
    }
}

void local_publisher::tick(instant now)
{
    update_roles(now);
    publish(now);
}

void local_publisher::publish(instant now, const link_ptr& requester)
{
    if (!hooks_.ready()) {
        return;
    }
    const auto& core = hooks_.members();
    for (auto& [link, state] : links_) {
        if (state.report.role.empty()) {
            continue;
        }
        const bool outdated = !state.has_members || state.generation < hooks_.accepted().generation ||
                              state.members_revision != core.table().revision() ||
                              state.upstreams_revision != core.upstreams().revision();
        if (outdated || link == requester || now - state.last_sent >= heartbeat_period) {
            send(now, link, state);
        }
    }
}

void local_publisher::send(instant now, const link_ptr& link, link_state& state)
{
    const auto& core = hooks_.members();
    const auto& accepted = hooks_.accepted();
    view out;
    if (state.generation < accepted.generation) {
        out.configuration = accepted;
        out.parts = hooks_.changed_parts();
    }
    // Drains in the configuration and leaving marks of hosts change members in the view without a new member record.
    const bool full =
        !state.has_members || out.configuration || state.upstreams_revision != core.upstreams().revision();
    out.members = members_for(state, full);
    out.partial = !full;
    out.leaving_upstreams = leaving_upstreams();
    state.generation = std::max(state.generation, accepted.generation);
    state.members_revision = core.table().revision();
    state.upstreams_revision = core.upstreams().revision();
    state.has_members = true;
    state.last_sent = now;
    send_counted(*link, {accepted.generation, std::move(out)}, counters_);
}

std::vector<member> local_publisher::members_for(const link_state& state, bool full) const
{
    auto out = hooks_.members().members_since(full ? 0 : state.members_revision);
    if (full) {
        out.erase(
            std::remove_if(out.begin(), out.end(), [](const member& it) { return it.state == member_state::dead; }),
            out.end());
    }
    const auto& drained = hooks_.accepted().merged.drains.hosts;
    for (auto& it : out) {
        const bool is_drained = std::find(drained.begin(), drained.end(), it.host) != drained.end() ||
                                hooks_.members().upstreams().is_leaving(it.host);
        if (is_drained && it.state != member_state::dead) {
            it.state = member_state::leaving;
        }
        if (it.gateway_leaving) {
            it.addresses.gateway_http.clear();
        }
        if (it.scheduler_leaving) {
            it.addresses.scheduler_link.clear();
        }
    }
    return out;
}

std::vector<upstream_id> local_publisher::leaving_upstreams() const
{
    auto out = hooks_.members().upstreams().leaving();
    const auto& drained = hooks_.accepted().merged.drains.upstreams;
    out.insert(out.end(), drained.begin(), drained.end());
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

bool local_publisher::has_leaving_process() const
{
    return std::any_of(links_.begin(), links_.end(),
                       [&](const auto& it) { return it.second.report.leaving && is_local(it.first); });
}

} // namespace anvillead
