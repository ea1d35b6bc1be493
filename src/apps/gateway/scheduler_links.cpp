#include "apps/gateway/scheduler_links.h"

#include <algorithm>

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

void scheduler_links::move_to_owners(waiting& entry, outgoing& messages)
{
    if (entry.race.decided()) {
        return;
    }
    const auto at = services_.find(entry.request.service);
    const auto owns = [&](const std::string& address) {
        return at != services_.end() && at->second.engines.count(address) != 0;
    };
    const auto before = entry.race.awaited();
    for (const auto& it : before) {
        if (!owns(it)) {
            drop(entry, it);
        }
    }
    if (entry.race.awaited().size() < before.size() || before.empty()) {
        ask_more(entry, messages);
    }
}

void scheduler_links::ask_more(waiting& entry, outgoing& messages)
{
    const auto at = services_.find(entry.request.service);
    if (at == services_.end() || at->second.cells.empty()) {
        return;
    }
    const auto& known = at->second;
    const auto add = [&](const std::string& address) {
        entry.race.ask(address);
        choice_of(entry.request.service).on_asked(address);
        messages.emplace_back(address, entry.request);
    };
    if (schedulers_asked_ == 1) {
        if (entry.race.awaited().empty()) {
            add(known.cells[placement_hash(entry.request.id.str()) % known.cells.size()]);
        }
        return;
    }
    std::vector<scheduler_candidate> candidates;
    for (const auto& [address, engines] : known.engines) {
        if (!entry.race.awaits(address)) {
            candidates.push_back({address, engines, open_.count(address) != 0});
        }
    }
    const auto wanted = static_cast<std::size_t>(entry.request.schedulers) - entry.race.awaited().size();
    const auto now = pool_.timers().now();
    for (const auto& it : choice_of(entry.request.service).choose(now, std::move(candidates), wanted)) {
        add(it);
    }
}

scheduler_choice& scheduler_links::choice_of(const service_name& name)
{
    return choices_.try_emplace(name, placement_hash(name.str(), placement_hash(options_.identity))).first->second;
}

milliseconds scheduler_links::waited(const waiting& entry) const
{
    return std::chrono::duration_cast<milliseconds>(pool_.timers().now() - entry.since);
}

void scheduler_links::drop(waiting& entry, const std::string& address)
{
    entry.race.drop(address);
    choice_of(entry.request.service).on_withdrawn(pool_.timers().now(), address, waited(entry));
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

void scheduler_links::ask(const grant_request& request, grant_callbacks callbacks)
{
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        auto& entry = waiting_[request.id];
        entry = {request, std::move(callbacks), {}, {}, {}, pool_.timers().now()};
        const auto at = services_.find(request.service);
        const auto schedulers = at == services_.end() ? 0 : at->second.engines.size();
        entry.request.schedulers = static_cast<int>(std::max<std::size_t>(1, std::min(schedulers_asked_, schedulers)));
        ask_more(entry, messages);
        const auto asked = std::max<std::size_t>(1, entry.race.awaited().size());
        entry.request.schedulers = static_cast<int>(asked);
        for (auto& [address, value] : messages) {
            value = entry.request;
        }
    }
    send_all(std::move(messages));
}

void scheduler_links::cancel(const request_id& request)
{
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(request);
        if (it == waiting_.end()) {
            return;
        }
        if (it->second.granted) {
            messages.emplace_back(it->second.scheduler, grant_cancel{request});
        }
        const auto awaited = it->second.race.awaited();
        for (const auto& address : awaited) {
            messages.emplace_back(address, grant_cancel{request});
            drop(it->second, address);
        }
        waiting_.erase(it);
    }
    send_all(std::move(messages));
}

void scheduler_links::refuse_unserved()
{
    std::vector<std::pair<refusal, grant_callbacks>> refused;
    {
        const std::lock_guard lock(mutex_);
        const auto now = pool_.timers().now();
        const auto reachable = [&](const service_name& name) {
            const auto at = services_.find(name);
            return at != services_.end() &&
                   std::any_of(at->second.engines.begin(), at->second.engines.end(),
                               [&](const auto& entry) { return open_.count(entry.first) != 0; });
        };
        for (const auto& [name, it] : services_) {
            absence_.observe(now, name, reachable(name));
        }
        for (const auto& [id, it] : waiting_) {
            absence_.observe(now, it.request.service, reachable(it.request.service));
        }
        for (auto it = waiting_.begin(); it != waiting_.end();) {
            const auto delay =
                it->second.granted ? std::nullopt : absence_.refuse_after(now, it->second.request.service);
            if (!delay) {
                ++it;
                continue;
            }
            const auto awaited = it->second.race.awaited();
            for (const auto& address : awaited) {
                drop(it->second, address);
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

void scheduler_links::replace(waiting& entry, const std::string& address, outgoing& messages)
{
    const auto at = services_.find(entry.request.service);
    const bool other =
        at != services_.end() &&
        std::any_of(at->second.engines.begin(), at->second.engines.end(), [&](const auto& candidate) {
            return candidate.second > 0 && open_.count(candidate.first) != 0 && !entry.race.awaits(candidate.first);
        });
    // A scheduler that is back gets the request again when its link opens, unless another one was asked in its place.
    if (schedulers_asked_ > 1 && other) {
        drop(entry, address);
        ask_more(entry, messages);
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

void scheduler_links::take_grant(const std::string& address, const grant& value)
{
    grant_callbacks callbacks;
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(value.request);
        if (it != waiting_.end() && !it->second.granted) {
            auto& entry = it->second;
            entry.granted = value.id;
            entry.scheduler = address;
            callbacks = entry.callbacks;
            const auto now = pool_.timers().now();
            auto& choice = choice_of(entry.request.service);
            if (entry.race.awaits(address)) {
                choice.on_grant(now, address, waited(entry));
            }
            for (const auto& other : entry.race.on_grant(address)) {
                choice.on_withdrawn(now, other, waited(entry));
                messages.emplace_back(other, grant_cancel{value.request, true});
            }
        } else {
            const bool elsewhere = it != waiting_.end() && it->second.granted != value.id;
            messages.emplace_back(address, grant_cancel{value.request, elsewhere});
            counters_.add("grants_returned_total");
        }
    }
    // The other scheduler's queue is shortened before the request goes on.
    send_all(std::move(messages));
    if (callbacks.on_grant) {
        callbacks.on_grant(value, address);
    }
}

void scheduler_links::take_refusal(const std::string& address, const refusal& value)
{
    grant_callbacks callbacks;
    std::optional<refusal> last;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(value.request);
        if (it == waiting_.end() || it->second.granted) {
            return;
        }
        auto& entry = it->second;
        if (entry.race.awaits(address)) {
            const auto delay = value.retry_after.value_or(waited(entry));
            choice_of(entry.request.service).on_refusal(pool_.timers().now(), address, delay);
        }
        last = entry.race.on_refusal(address, value, [this](const auto& other) { return open_.count(other) != 0; });
        if (!last) {
            return;
        }
        const auto awaited = entry.race.awaited();
        for (const auto& other : awaited) {
            drop(entry, other);
        }
        callbacks = std::move(entry.callbacks);
        waiting_.erase(it);
    }
    callbacks.on_refusal(*last);
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
