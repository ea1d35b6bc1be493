#include "apps/gateway/scheduler_links.h"

#include <algorithm>
#include <utility>

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "core/crypto.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

constexpr milliseconds link_close_time{10'000};

int count_staying(const std::vector<upstream_id>& engines, const std::vector<upstream_id>& leaving)
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
    std::map<std::string, std::vector<upstream_id>> owned;
    std::map<service_name, service_schedulers> services;
    for (const auto& it : view->configuration->merged.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& group : cells_of(it)) {
            for (const auto& candidate : rank_members(view->members, placement_key(group))) {
                const auto& address = candidate.addresses.scheduler_link;
                if (address.empty()) {
                    continue;
                }
                auto& engines = owned[address];
                engines.insert(engines.end(), group.engines.begin(), group.engines.end());
                services[it.name].cells.push_back(address);
                services[it.name].engines[address] += count_staying(group.engines, view->leaving_upstreams);
                break;
            }
        }
    }
    outgoing moved;
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
        services_ = std::move(services);
        for (auto& [name, choice] : choices_) {
            const auto at = services_.find(name);
            choice.keep(at == services_.end() ? std::vector<std::string>() : at->second.cells);
        }
        for (auto& [id, it] : waiting_) {
            move_to_owners(it, moved);
        }
    }
    drop_unused_links();
    for (const auto& it : takeovers) {
        const auto link = client_for(it)->current();
        if (link) {
            opened(it, link);
            // That has sent what moved there.
            moved.erase(std::remove_if(moved.begin(), moved.end(), [&](const auto& at) { return at.first == it; }),
                        moved.end());
        }
    }
    send_all(std::move(moved));
}

void scheduler_links::drop_unused_links()
{
    std::vector<std::shared_ptr<ilink_client>> unused;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = clients_.begin(); it != clients_.end();) {
            const auto& address = it->first;
            const bool used =
                owned_.count(address) != 0 || std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
                    return entry.second.scheduler == address || entry.second.race.awaits(address);
                });
            if (!used) {
                unused.push_back(it->second);
                open_.erase(address);
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
    handlers.on_closed = [this, address](const link_ptr& link) { closed(address, link); };
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
        open_[address] = link;
        const auto it = owned_.find(address);
        if (it != owned_.end()) {
            engines = it->second;
        }
        for (const auto& [id, entry] : waiting_) {
            if (entry.race.awaits(address)) {
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

void scheduler_links::closed(const std::string& address, const link_ptr& link)
{
    outgoing messages;
    std::vector<std::pair<refusal, grant_callbacks>> refused;
    {
        const std::lock_guard lock(mutex_);
        const auto at = open_.find(address);
        if (at == open_.end() || at->second != link) {
            return;
        }
        open_.erase(at);
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            auto& entry = it->second;
            if (!entry.race.awaits(address)) {
                ++it;
                continue;
            }
            replace(entry, address, messages);
            if (auto last = entry.race.on_unreachable([this](const auto& other) { return open_.count(other) != 0; })) {
                refused.emplace_back(std::move(*last), std::move(entry.callbacks));
                it = waiting_.erase(it);
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
        take_grant(address, *value);
    } else if (const auto* refused = std::get_if<refusal>(&body)) {
        take_refusal(address, *refused);
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
