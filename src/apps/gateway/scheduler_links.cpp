#include "apps/gateway/scheduler_links.h"

#include <algorithm>
#include <utility>

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "core/crypto.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

constexpr milliseconds link_close_delay{10'000};

int count_not_leaving(const std::vector<upstream_id>& engines, const std::vector<upstream_id>& leaving)
{
    return static_cast<int>(std::count_if(engines.begin(), engines.end(), [&](const upstream_id& it) {
        return std::find(leaving.begin(), leaving.end(), it) == leaving.end();
    }));
}

} // namespace

scheduler_links::scheduler_links(worker_pool& pool, link_options options, metrics& counters, progress_table& progress,
                                 grant_settings settings)
    : pool_(pool), options_(std::move(options)), counters_(counters), progress_(progress),
      schedulers_asked_(settings.schedulers_asked),
      absence_(settings.scheduler_absence, placement_hash(options_.identity))
{}

void scheduler_links::apply_view(const view_ptr& view)
{
    std::map<std::string, std::vector<upstream_id>> engines_by_owner;
    std::map<service_name, service_schedulers> services;
    for (const auto& it : view->configuration->merged.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& group : partition_into_cells(it)) {
            for (const auto& candidate : rank_members(view->members, placement_key(group))) {
                const auto& address = candidate.addresses.scheduler_link;
                if (address.empty()) {
                    continue;
                }
                auto& engines = engines_by_owner[address];
                engines.insert(engines.end(), group.engines.begin(), group.engines.end());
                services[it.name].cells.push_back(address);
                services[it.name].engines[address] += count_not_leaving(group.engines, view->leaving_upstreams);
                break;
            }
        }
    }
    outgoing moved;
    std::vector<std::string> takeovers;
    {
        const std::lock_guard lock(mutex_);
        view_ = view;
        for (const auto& [address, engines] : engines_by_owner) {
            const auto before = engines_by_owner_.find(address);
            if (before == engines_by_owner_.end() || before->second != engines) {
                takeovers.push_back(address);
            }
        }
        engines_by_owner_ = std::move(engines_by_owner);
        services_ = std::move(services);
        for (auto& [name, selector] : selectors_) {
            const auto at = services_.find(name);
            selector.keep(at == services_.end() ? std::vector<std::string>() : at->second.cells);
        }
        for (auto& [id, it] : grant_requests_) {
            move_to_owners(it, moved);
        }
    }
    close_unused_links();
    for (const auto& it : takeovers) {
        const auto link = client_for(it)->current();
        if (link) {
            on_link_open(it, link);
            // on_link_open() has already sent the requests that moved to this scheduler.
            moved.erase(std::remove_if(moved.begin(), moved.end(), [&](const auto& at) { return at.first == it; }),
                        moved.end());
        }
    }
    send_all(std::move(moved));
}

void scheduler_links::close_unused_links()
{
    std::vector<std::shared_ptr<ilink_client>> unused;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = clients_.begin(); it != clients_.end();) {
            const auto& address = it->first;
            const bool used =
                engines_by_owner_.count(address) != 0 ||
                std::any_of(grant_requests_.begin(), grant_requests_.end(), [&](const auto& entry) {
                    return entry.second.scheduler == address || entry.second.hedged_request.awaits(address);
                });
            if (!used) {
                unused.push_back(it->second);
                open_links_.erase(address);
            }
            it = used ? std::next(it) : clients_.erase(it);
        }
    }
    for (const auto& it : unused) {
        it->stop();
        // Keeps the client alive until the last operations of its link have completed.
        pool_.timers().after(link_close_delay, [it] {});
    }
}

void scheduler_links::report_progress()
{
    for (auto& [address, report] : progress_.take_reports(pool_.timers().now())) {
        send(address, std::move(report));
    }
}

void scheduler_links::report_end(const grant_id& id, grant_state state)
{
    auto ended = progress_.remove_grant(id, state, pool_.timers().now());
    if (!ended) {
        return;
    }
    auto& [address, last] = *ended;
    {
        const std::lock_guard lock(mutex_);
        // The request may already wait for another grant, whose entry must be kept.
        const auto entry = grant_requests_.find(last.request);
        if (entry != grant_requests_.end() && entry->second.granted == id) {
            grant_requests_.erase(entry);
        }
    }
    progress_report report;
    report.briefs.push_back(to_summary(last));
    send(address, std::move(report));
}

std::shared_ptr<ilink_client> scheduler_links::client_for(const std::string& address)
{
    const std::lock_guard lock(mutex_);
    const auto it = clients_.find(address);
    if (it != clients_.end()) {
        return it->second;
    }
    link_handlers handlers;
    handlers.on_open = [this, address](const link_ptr& link) { on_link_open(address, link); };
    handlers.on_message = [this, address](const link_ptr& link, const std::string& payload) {
        on_link_message(address, link, payload);
    };
    handlers.on_closed = [this, address](const link_ptr& link) { on_link_closed(address, link); };
    // Connecting is asynchronous, so no handler is called while the lock is held.
    auto client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
    return clients_.emplace(address, std::move(client)).first->second;
}

void scheduler_links::on_link_open(const std::string& address, const link_ptr& link)
{
    std::vector<upstream_id> engines;
    std::vector<grant_request> pending;
    config_generation generation = 0;
    {
        const std::lock_guard lock(mutex_);
        open_links_[address] = link;
        const auto it = engines_by_owner_.find(address);
        if (it != engines_by_owner_.end()) {
            engines = it->second;
        }
        for (const auto& [id, entry] : grant_requests_) {
            if (entry.hedged_request.awaits(address)) {
                pending.push_back(entry.request);
            }
        }
        generation = view_->configuration->generation;
    }
    send_counted(*link, {generation, progress_.takeover_report(engines, address, pool_.timers().now())}, counters_);
    for (const auto& it : pending) {
        send_counted(*link, {generation, it}, counters_);
    }
}

void scheduler_links::on_link_closed(const std::string& address, const link_ptr& link)
{
    outgoing messages;
    std::vector<std::pair<refusal, grant_callbacks>> refused;
    {
        const std::lock_guard lock(mutex_);
        const auto at = open_links_.find(address);
        if (at == open_links_.end() || at->second != link) {
            return;
        }
        open_links_.erase(at);
        for (auto it = grant_requests_.begin(); it != grant_requests_.end();) {
            auto& entry = it->second;
            if (!entry.hedged_request.awaits(address)) {
                ++it;
                continue;
            }
            replace_scheduler(entry, address, messages);
            if (auto last = entry.hedged_request.on_unreachable(
                    [this](const auto& other) { return open_links_.count(other) != 0; })) {
                refused.emplace_back(std::move(*last), std::move(entry.callbacks));
                it = grant_requests_.erase(it);
            } else {
                ++it;
            }
        }
    }
    send_all(std::move(messages));
    for (const auto& [value, callbacks] : refused) {
        callbacks.on_refusal(value);
    }
}

void scheduler_links::on_link_message(const std::string& address, const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    if (!generation_gate_) {
        handle(address, decoded->body);
        return;
    }
    // The scheduler may have a newer configuration. The answer is handled after this process has received it, too.
    generation_gate_(decoded->generation, [this, address, body = decoded->body] { handle(address, body); });
}

void scheduler_links::handle(const std::string& address, const message& body)
{
    if (const auto* value = std::get_if<grant>(&body)) {
        handle_grant(address, *value);
    } else if (const auto* refused = std::get_if<refusal>(&body)) {
        handle_refusal(address, *refused);
    }
}

void scheduler_links::send_all(outgoing messages)
{
    for (auto& [address, value] : messages) {
        send(address, std::move(value));
    }
}

void scheduler_links::send(const std::string& address, message value)
{
    const auto link = client_for(address)->current();
    if (!link) {
        return;
    }
    config_generation generation = 0;
    {
        const std::lock_guard lock(mutex_);
        generation = view_->configuration->generation;
    }
    send_counted(*link, {generation, std::move(value)}, counters_);
}

} // namespace anvillead
