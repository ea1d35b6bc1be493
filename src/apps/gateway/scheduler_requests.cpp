#include "apps/gateway/scheduler_links.h"

#include <algorithm>
#include <utility>

#include "core/crypto.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

// A scheduler with free capacity grants within a round trip of a few milliseconds. Asking two at once would double the
// number of messages for requests that need not wait.
constexpr milliseconds second_scheduler_delay{10};

} // namespace

void scheduler_links::move_to_owners(grant_request_state& entry, outgoing& messages)
{
    if (entry.hedged_request.decided()) {
        return;
    }
    const auto at = services_.find(entry.request.service);
    const auto owns = [&](const std::string& address) {
        return at != services_.end() && at->second.engines.count(address) != 0;
    };
    const auto before = entry.hedged_request.awaited();
    for (const auto& it : before) {
        if (!owns(it)) {
            withdraw_from(entry, it);
        }
    }
    if (entry.hedged_request.awaited().size() < before.size() || before.empty()) {
        ask_schedulers(entry, messages);
    }
}

void scheduler_links::ask_schedulers(grant_request_state& entry, outgoing& messages)
{
    const auto at = services_.find(entry.request.service);
    if (at == services_.end() || at->second.cells.empty()) {
        return;
    }
    const auto& known = at->second;
    const auto add = [&](const std::string& address) {
        entry.hedged_request.ask(address);
        selector_for(entry.request.service).on_request_sent(address);
        messages.emplace_back(address, entry.request);
    };
    if (schedulers_asked_ == 1) {
        if (entry.hedged_request.awaited().empty()) {
            add(known.cells[placement_hash(entry.request.id.str()) % known.cells.size()]);
        }
        return;
    }
    std::vector<scheduler_candidate> candidates;
    for (const auto& [address, engines] : known.engines) {
        if (!entry.hedged_request.awaits(address)) {
            candidates.push_back({address, engines, open_links_.count(address) != 0});
        }
    }
    const auto wanted = entry.schedulers_wanted - entry.hedged_request.awaited().size();
    const auto now = pool_.timers().now();
    for (const auto& it : selector_for(entry.request.service).choose(now, std::move(candidates), wanted)) {
        add(it);
    }
}

scheduler_selector& scheduler_links::selector_for(const service_name& name)
{
    return selectors_.try_emplace(name, placement_hash(name.str(), placement_hash(options_.identity))).first->second;
}

milliseconds scheduler_links::wait_time(const grant_request_state& entry) const
{
    return std::chrono::duration_cast<milliseconds>(pool_.timers().now() - entry.since);
}

void scheduler_links::withdraw_from(grant_request_state& entry, const std::string& address)
{
    entry.hedged_request.drop(address);
    selector_for(entry.request.service).on_withdrawn(pool_.timers().now(), address, wait_time(entry));
}

void scheduler_links::submit(const grant_request& request, grant_callbacks callbacks)
{
    outgoing messages;
    bool ask_second = false;
    {
        const std::lock_guard lock(mutex_);
        auto& entry = grant_requests_[request.id];
        entry = {request, std::move(callbacks), {}, {}, {}, pool_.timers().now()};
        const auto at = services_.find(request.service);
        const auto schedulers = at == services_.end() ? 0 : count_usable(at->second);
        entry.request.schedulers = static_cast<int>(std::max<std::size_t>(1, std::min(schedulers_asked_, schedulers)));
        ask_second = entry.request.schedulers > 1;
        ask_schedulers(entry, messages);
    }
    send_all(std::move(messages));
    if (ask_second) {
        pool_.timers().after(second_scheduler_delay, [this, id = request.id] { ask_second_scheduler(id); });
    }
}

bool scheduler_links::is_usable(const std::string& address, int engines) const
{
    return engines > 0 && open_links_.count(address) != 0;
}

std::size_t scheduler_links::count_usable(const service_schedulers& value) const
{
    return static_cast<std::size_t>(std::count_if(value.engines.begin(), value.engines.end(),
                                                  [this](const auto& it) { return is_usable(it.first, it.second); }));
}

void scheduler_links::ask_second_scheduler(const request_id& id)
{
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = grant_requests_.find(id);
        if (it == grant_requests_.end() || it->second.hedged_request.decided()) {
            return;
        }
        ask_second_scheduler(it->second, messages);
    }
    send_all(std::move(messages));
}

void scheduler_links::ask_second_scheduler(grant_request_state& entry, outgoing& messages)
{
    const auto schedulers_wanted = static_cast<std::size_t>(entry.request.schedulers);
    if (std::exchange(entry.schedulers_wanted, schedulers_wanted) != schedulers_wanted) {
        ask_schedulers(entry, messages);
    }
}

void scheduler_links::cancel(const request_id& request)
{
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = grant_requests_.find(request);
        if (it == grant_requests_.end()) {
            return;
        }
        if (it->second.granted) {
            messages.emplace_back(it->second.scheduler, grant_cancel{request});
        }
        const auto awaited = it->second.hedged_request.awaited();
        for (const auto& address : awaited) {
            messages.emplace_back(address, grant_cancel{request});
            withdraw_from(it->second, address);
        }
        grant_requests_.erase(it);
    }
    send_all(std::move(messages));
}

void scheduler_links::refuse_unserved()
{
    std::vector<std::pair<refusal, grant_callbacks>> refused;
    {
        const std::lock_guard lock(mutex_);
        const auto now = pool_.timers().now();
        for (const auto& [name, it] : services_) {
            const bool reachable = std::any_of(it.engines.begin(), it.engines.end(),
                                               [&](const auto& entry) { return open_links_.count(entry.first) != 0; });
            absence_.observe(now, name, reachable);
        }
        for (const auto& [id, it] : grant_requests_) {
            if (services_.count(it.request.service) == 0) {
                absence_.observe(now, it.request.service, false);
            }
        }
        for (auto it = grant_requests_.begin(); it != grant_requests_.end();) {
            const auto delay =
                it->second.granted ? std::nullopt : absence_.absence_retry_after(now, it->second.request.service);
            if (!delay) {
                ++it;
                continue;
            }
            const auto awaited = it->second.hedged_request.awaited();
            for (const auto& address : awaited) {
                withdraw_from(it->second, address);
            }
            refused.emplace_back(refusal{it->first, error_kind::no_upstream, delay}, std::move(it->second.callbacks));
            it = grant_requests_.erase(it);
        }
    }
    for (const auto& [value, callbacks] : refused) {
        callbacks.on_refusal(value);
    }
}

void scheduler_links::replace_scheduler(grant_request_state& entry, const std::string& address, outgoing& messages)
{
    const auto at = services_.find(entry.request.service);
    const bool other =
        at != services_.end() &&
        std::any_of(at->second.engines.begin(), at->second.engines.end(), [&](const auto& candidate) {
            return is_usable(candidate.first, candidate.second) && !entry.hedged_request.awaits(candidate.first);
        });
    // When the link opens again, the request is sent again to the same scheduler, unless another one was asked instead.
    if (schedulers_asked_ > 1 && other) {
        withdraw_from(entry, address);
        ask_schedulers(entry, messages);
    }
}

void scheduler_links::handle_grant(const std::string& address, const grant& value)
{
    grant_callbacks callbacks;
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = grant_requests_.find(value.request);
        if (it != grant_requests_.end() && !it->second.granted) {
            auto& entry = it->second;
            entry.granted = value.id;
            entry.scheduler = address;
            callbacks = entry.callbacks;
            const auto now = pool_.timers().now();
            auto& selector = selector_for(entry.request.service);
            if (entry.hedged_request.awaits(address)) {
                selector.on_grant(now, address, wait_time(entry));
            }
            for (const auto& other : entry.hedged_request.on_grant(address)) {
                selector.on_withdrawn(now, other, wait_time(entry));
                messages.emplace_back(other, grant_cancel{value.request, true});
            }
        } else {
            const bool elsewhere = it != grant_requests_.end() && it->second.granted != value.id;
            messages.emplace_back(address, grant_cancel{value.request, elsewhere});
            counters_.add("grants_returned_total");
        }
    }
    // The cancellations are sent before the callback, so that the other scheduler can remove the request early.
    send_all(std::move(messages));
    if (callbacks.on_grant) {
        callbacks.on_grant(value, address);
    }
}

void scheduler_links::handle_refusal(const std::string& address, const refusal& value)
{
    grant_callbacks callbacks;
    std::optional<refusal> last;
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = grant_requests_.find(value.request);
        if (it == grant_requests_.end() || it->second.granted) {
            return;
        }
        auto& entry = it->second;
        if (entry.hedged_request.awaits(address)) {
            const auto delay = value.retry_after.value_or(wait_time(entry));
            selector_for(entry.request.service).on_refusal(pool_.timers().now(), address, delay);
            // Another scheduler may still grant the request.
            ask_second_scheduler(entry, messages);
        }
        last = entry.hedged_request.on_refusal(address, value,
                                               [this](const auto& other) { return open_links_.count(other) != 0; });
        if (last) {
            const auto awaited = entry.hedged_request.awaited();
            for (const auto& other : awaited) {
                withdraw_from(entry, other);
            }
            callbacks = std::move(entry.callbacks);
            grant_requests_.erase(it);
        }
    }
    send_all(std::move(messages));
    if (last) {
        callbacks.on_refusal(*last);
    }
}

} // namespace anvillead
