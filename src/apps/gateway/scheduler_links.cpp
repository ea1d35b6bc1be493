#include "apps/gateway/scheduler_links.h"

#include <algorithm>

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "core/crypto.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

constexpr milliseconds link_close_time{10'000};

} // namespace

scheduler_links::scheduler_links(worker_pool& pool, link_options options, metrics& counters, progress_table& progress,
                                 milliseconds absence)
    : pool_(pool), options_(std::move(options)), counters_(counters), progress_(progress),
      absence_(absence, placement_hash(options_.identity))
{}

void scheduler_links::apply_view(const view_ptr& view)
{
    std::map<std::string, std::vector<upstream_id>> owned;
    std::map<service_name, std::vector<std::string>> owners;
    for (const auto& it : view->configuration->merged.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& group : cells_of(it)) {
            for (const auto& candidate : rank_members(view->members, placement_key(group))) {
                if (candidate.addresses.scheduler_link.empty()) {
                    continue;
                }
                auto& engines = owned[candidate.addresses.scheduler_link];
                engines.insert(engines.end(), group.engines.begin(), group.engines.end());
                owners[it.name].push_back(candidate.addresses.scheduler_link);
                break;
            }
        }
    }
    std::vector<grant_request> moved;
    std::vector<std::string> takeovers;
    {
        const std::lock_guard lock(mutex_);
        view_ = view;
        for (const auto& [address, engines] : owned) {
            const auto before = owned_.find(address);
            if (before == owned_.end() || before->second != engines) {
                takeovers.push_back(address);
            }
        }
        owned_ = std::move(owned);
        owners_ = std::move(owners);
        for (auto& [id, it] : waiting_) {
            const auto owner = it.granted ? it.scheduler : owner_of(it.request);
            if (owner != it.scheduler) {
                it.scheduler = owner;
                moved.push_back(it.request);
            }
        }
    }
    drop_unused_links();
    for (const auto& it : takeovers) {
        const auto link = client_for(it)->current();
        if (link) {
            opened(it, link);
        }
    }
    for (const auto& it : moved) {
        std::string address;
        {
            const std::lock_guard lock(mutex_);
            const auto entry = waiting_.find(it.id);
            address = entry == waiting_.end() ? std::string() : entry->second.scheduler;
        }
        if (!address.empty()) {
            send(address, it);
        }
    }
}

void scheduler_links::drop_unused_links()
{
    std::vector<std::shared_ptr<ilink_client>> unused;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = clients_.begin(); it != clients_.end();) {
            const auto& address = it->first;
            const bool used = owned_.count(address) != 0 ||
                              std::any_of(waiting_.begin(), waiting_.end(),
                                          [&](const auto& entry) { return entry.second.scheduler == address; });
            if (!used) {
                unused.push_back(it->second);
            }
            it = used ? std::next(it) : clients_.erase(it);
        }
    }
    for (const auto& it : unused) {
        it->stop();
        // Destroyed once the link's last operations have ended.
        pool_.timers().after(link_close_time, [it] {});
    }
}

std::string scheduler_links::owner_of(const grant_request& request) const
{
    const auto it = owners_.find(request.service);
    if (it == owners_.end() || it->second.empty()) {
        return {};
    }
    return it->second[placement_hash(request.id.str()) % it->second.size()];
}

void scheduler_links::ask(const grant_request& request, grant_callbacks callbacks)
{
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        address = owner_of(request);
        waiting_[request.id] = {request, std::move(callbacks), address, std::nullopt};
    }
    if (!address.empty()) {
        send(address, request);
    }
}

void scheduler_links::cancel(const request_id& request)
{
    std::string address;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(request);
        if (it == waiting_.end()) {
            return;
        }
        address = it->second.scheduler;
        waiting_.erase(it);
    }
    if (!address.empty()) {
        send(address, grant_cancel{request});
    }
}

void scheduler_links::refuse_unserved()
{
    std::map<service_name, std::vector<std::string>> services;
    {
        const std::lock_guard lock(mutex_);
        services = owners_;
        for (const auto& [id, it] : waiting_) {
            services.try_emplace(it.request.service);
        }
    }
    std::map<service_name, bool> reachable;
    for (const auto& [name, addresses] : services) {
        reachable[name] = std::any_of(addresses.begin(), addresses.end(),
                                      [&](const auto& address) { return client_for(address)->current() != nullptr; });
    }
    std::vector<std::pair<refusal, grant_callbacks>> refused;
    {
        const std::lock_guard lock(mutex_);
        const auto now = pool_.timers().now();
        for (const auto& [name, open] : reachable) {
            absence_.observe(now, name, open);
        }
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            const auto delay =
                it->second.granted ? std::nullopt : absence_.refuse_after(now, it->second.request.service);
            if (!delay) {
                ++it;
                continue;
            }
            refused.emplace_back(refusal{it->first, error_kind::no_upstream, delay}, std::move(it->second.callbacks));
            it = waiting_.erase(it);
        }
    }
    for (const auto& [value, callbacks] : refused) {
        callbacks.on_refusal(value);
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
    auto ended = progress_.end(id, state, pool_.timers().now());
    if (!ended) {
        return;
    }
    auto& [address, last] = *ended;
    {
        const std::lock_guard lock(mutex_);
        // The request may already wait for another grant.
        const auto entry = waiting_.find(last.request);
        if (entry != waiting_.end() && entry->second.granted == id) {
            waiting_.erase(entry);
        }
    }
    progress_report report;
    report.briefs.push_back(without_names(last));
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
    handlers.on_open = [this, address](const link_ptr& link) { opened(address, link); };
    handlers.on_message = [this, address](const link_ptr& link, const std::string& payload) {
        received(address, link, payload);
    };
    // Connecting is asynchronous, so nothing calls back while the lock is held.
    auto client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
    return clients_.emplace(address, std::move(client)).first->second;
}

void scheduler_links::opened(const std::string& address, const link_ptr& link)
{
    std::vector<upstream_id> engines;
    std::vector<grant_request> pending;
    config_generation generation = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto it = owned_.find(address);
        if (it != owned_.end()) {
            engines = it->second;
        }
        for (const auto& [id, entry] : waiting_) {
            if (!entry.granted && entry.scheduler == address) {
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

void scheduler_links::received(const std::string& address, const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    if (!when_current_) {
        handle(address, decoded->body);
        return;
    }
    // The scheduler may already have a newer configuration; this process gets it before it acts on the answer.
    when_current_(decoded->generation, [this, address, body = decoded->body] { handle(address, body); });
}

void scheduler_links::handle(const std::string& address, const message& body)
{
    if (const auto* value = std::get_if<grant>(&body)) {
        grant_callbacks callbacks;
        {
            const std::lock_guard lock(mutex_);
            const auto it = waiting_.find(value->request);
            if (it != waiting_.end() && !it->second.granted) {
                it->second.granted = value->id;
                it->second.scheduler = address;
                callbacks = it->second.callbacks;
            }
        }
        if (callbacks.on_grant) {
            callbacks.on_grant(*value, address);
        } else {
            send(address, grant_cancel{value->request});
        }
    } else if (const auto* refused = std::get_if<refusal>(&body)) {
        grant_callbacks callbacks;
        {
            const std::lock_guard lock(mutex_);
            const auto it = waiting_.find(refused->request);
            // The former owner of a cell that has moved may still have the request in its queue.
            const bool current =
                it != waiting_.end() && (it->second.scheduler == address || it->second.scheduler.empty());
            if (current && !it->second.granted) {
                callbacks = it->second.callbacks;
                waiting_.erase(it);
            }
        }
        if (callbacks.on_refusal) {
            callbacks.on_refusal(*refused);
        }
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
