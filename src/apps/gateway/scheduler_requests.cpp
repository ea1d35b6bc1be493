#include "apps/gateway/scheduler_links.h"

#include <algorithm>
#include <utility>

#include "core/crypto.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

// A scheduler with room grants within a round trip, a few milliseconds. Asking two at once would double the messages of
// requests that need not wait.
constexpr milliseconds second_ask_delay{10};

} // namespace

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
    const auto wanted = entry.width - entry.race.awaited().size();
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

void scheduler_links::ask(const grant_request& request, grant_callbacks callbacks)
{
    outgoing messages;
    bool widens = false;
    {
        const std::lock_guard lock(mutex_);
        auto& entry = waiting_[request.id];
        entry = {request, std::move(callbacks), {}, {}, {}, pool_.timers().now()};
        const auto at = services_.find(request.service);
        const auto schedulers = at == services_.end() ? 0 : count_usable(at->second);
        entry.request.schedulers = static_cast<int>(std::max<std::size_t>(1, std::min(schedulers_asked_, schedulers)));
        widens = entry.request.schedulers > 1;
        ask_more(entry, messages);
    }
    send_all(std::move(messages));
    if (widens) {
        pool_.timers().after(second_ask_delay, [this, id = request.id] { widen(id); });
    }
}

bool scheduler_links::usable(const std::string& address, int engines) const
{
    return engines > 0 && open_.count(address) != 0;
}

std::size_t scheduler_links::count_usable(const service_schedulers& value) const
{
    return static_cast<std::size_t>(std::count_if(value.engines.begin(), value.engines.end(),
                                                  [this](const auto& it) { return usable(it.first, it.second); }));
}

void scheduler_links::widen(const request_id& id)
{
    outgoing messages;
    {
        const std::lock_guard lock(mutex_);
        const auto it = waiting_.find(id);
        if (it == waiting_.end() || it->second.race.decided()) {
            return;
        }
        widen(it->second, messages);
    }
    send_all(std::move(messages));
}

void scheduler_links::widen(waiting& entry, outgoing& messages)
{
    const auto width = static_cast<std::size_t>(entry.request.schedulers);
    if (std::exchange(entry.width, width) != width) {
        ask_more(entry, messages);
    }
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
        for (const auto& [name, it] : services_) {
            const bool reachable = std::any_of(it.engines.begin(), it.engines.end(),
                                               [&](const auto& entry) { return open_.count(entry.first) != 0; });
            absence_.observe(now, name, reachable);
        }
        for (const auto& [id, it] : waiting_) {
            if (services_.count(it.request.service) == 0) {
                absence_.observe(now, it.request.service, false);
            }
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

void scheduler_links::replace(waiting& entry, const std::string& address, outgoing& messages)
{
    const auto at = services_.find(entry.request.service);
    const bool other = at != services_.end() &&
                       std::any_of(at->second.engines.begin(), at->second.engines.end(), [&](const auto& candidate) {
                           return usable(candidate.first, candidate.second) && !entry.race.awaits(candidate.first);
                       });
    // A scheduler that is back gets the request again when its link opens, unless another one was asked in its place.
    if (schedulers_asked_ > 1 && other) {
        drop(entry, address);
        ask_more(entry, messages);
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
    outgoing messages;
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
            // The other scheduler may still grant it.
            widen(entry, messages);
        }
        last = entry.race.on_refusal(address, value, [this](const auto& other) { return open_.count(other) != 0; });
        if (last) {
            const auto awaited = entry.race.awaited();
            for (const auto& other : awaited) {
                drop(entry, other);
            }
            callbacks = std::move(entry.callbacks);
            waiting_.erase(it);
        }
    }
    send_all(std::move(messages));
    if (last) {
        callbacks.on_refusal(*last);
    }
}

} // namespace anvillead
