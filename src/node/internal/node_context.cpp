#include "node/node_context.h"

#include <algorithm>

#include "dispatch/responsibility.h"
#include "node/rate_service.h"

namespace anvillead {

selection_input node_context::selection(std::vector<upstream_id> excluded) const
{
    const auto now = timers.now();
    const auto closed = rates->limits().closed(now);
    excluded.insert(excluded.end(), closed.begin(), closed.end());
    return {now, &directory, &loads, settings.availability_zone, std::move(excluded), known_speeds()};
}

std::shared_ptr<void> node_context::count_stream() const
{
    ++*open_streams;
    return {nullptr, [count = open_streams](void*) { --*count; }};
}

milliseconds node_context::time_until_open(const service_name& service) const
{
    const auto now = timers.now();
    const auto closed = rates->limits().closed(now);
    const auto usable = directory.usable(service);
    const bool all_closed = !usable.empty() && std::all_of(usable.begin(), usable.end(), [&](const auto* it) {
        return std::find(closed.begin(), closed.end(), it->record.id) != closed.end();
    });
    return all_closed ? rates->limits().next_opening(now) : milliseconds(0);
}

bool node_context::knows_newer_configuration() const
{
    const auto& live = peers.live();
    return std::any_of(live.begin(), live.end(),
                       [this](const host_report* it) { return routes && it->configuration > routes->version; });
}

host_id node_context::responsible_for(const std::string& key)
{
    const std::pair<std::uint64_t, bool> version(peers.version(), leaving);
    if (std::exchange(responsible_hosts_version, version) != version) {
        responsible_hosts.clear();
    }
    const auto [cached, missing] = responsible_hosts.try_emplace(key);
    if (!missing) {
        return cached->second;
    }
    std::vector<host_id> hosts;
    if (!leaving) {
        hosts.push_back(settings.host);
    }
    for (const auto* it : peers.live()) {
        if (it->ready && !it->leaving) {
            hosts.push_back(it->host);
        }
    }
    cached->second = responsible_host(hosts, key);
    return cached->second;
}

void node_context::record_path(instant started, const upstream_record& upstream, bool answered)
{
    const auto usable = directory.usable(upstream.service).size();
    if (answered) {
        paths.record_reached(started, upstream.service, upstream.id, usable);
        return;
    }
    paths.record_unreachable(timers.now(), upstream.service, upstream.id, usable);
}

retry_budget& node_context::retry_budget_for(const service_name& service)
{
    auto& out = retry_budgets[service];
    const auto hosts = peers.live_count() + 1;
    if (!out.budget) {
        out.budget = std::make_unique<retry_budget>(part_of_host(settings.retry_share, settings.retry_slack, hosts));
    } else if (out.hosts != hosts) {
        out.budget->set_limits(part_of_host(settings.retry_share, settings.retry_slack, hosts));
    }
    out.hosts = hosts;
    return *out.budget;
}

} // namespace anvillead
