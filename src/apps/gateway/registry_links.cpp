#include "apps/gateway/registry_links.h"

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "messages/codec.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

// A second replica keeps the entry available when one gateway fails.
constexpr std::size_t replica_count = 2;
constexpr std::size_t max_outbox_messages = 256;

} // namespace

registry_links::registry_links(worker_pool& pool, link_options options, host_id self, const claim_settings& settings,
                               metrics& counters)
    : pool_(pool), options_(std::move(options)), self_(std::move(self)), settings_(settings), counters_(counters),
      registry_(settings.registry)
{}

void registry_links::apply_view(const view_ptr& view)
{
    std::map<std::string, peer> removed;
    {
        const std::lock_guard lock(mutex_);
        view_ = view;
        for (auto it = peers_.begin(); it != peers_.end();) {
            bool listed = false;
            for (const auto& member : view->members) {
                listed = listed || member.addresses.gateway_link == it->first;
            }
            const auto here = it++;
            if (!listed) {
                removed.insert(peers_.extract(here));
            }
        }
    }
    for (const auto& [address, it] : removed) {
        it.client->stop();
    }
}

std::vector<std::string> registry_links::owners_of(const std::string& key_hash) const
{
    std::vector<std::string> out;
    for (const auto& it : rank_members(view_->members, "registry/" + key_hash)) {
        if (it.addresses.gateway_link.empty()) {
            continue;
        }
        out.push_back(it.host == self_ ? std::string() : it.addresses.gateway_link);
        if (out.size() == replica_count) {
            break;
        }
    }
    return out;
}

void registry_links::put(const std::string& key_hash, const std::string& response_id)
{
    std::vector<std::string> owners;
    {
        const std::lock_guard lock(mutex_);
        owners = owners_of(key_hash);
        for (const auto& it : owners) {
            if (it.empty()) {
                registry_.put(pool_.timers().now(), key_hash, response_id);
            }
        }
    }
    for (const auto& it : owners) {
        if (!it.empty()) {
            send(it, registry_put{key_hash, response_id});
        }
    }
}

void registry_links::look_up(const std::string& key_hash, std::function<void(std::optional<std::string>)> callback)
{
    std::vector<std::string> remote;
    std::optional<std::string> local;
    std::uint64_t query = 0;
    {
        const std::lock_guard lock(mutex_);
        for (auto& it : owners_of(key_hash)) {
            if (it.empty()) {
                local = registry_.find(pool_.timers().now(), key_hash);
            } else {
                remote.push_back(std::move(it));
            }
        }
        const bool query_peers = !local && !remote.empty() && lookups_.size() < settings_.registry_lookups;
        if (query_peers) {
            query = ++last_query_;
            lookups_[query] = {callback, remote.size(), 0};
        }
    }
    if (query == 0) {
        callback(std::move(local));
        return;
    }
    const auto timer = pool_.timers().after(settings_.registry_timeout, [this, query] {
        counters_.add("registry_timeouts_total");
        finish(query, std::nullopt, true);
    });
    {
        const std::lock_guard lock(mutex_);
        const auto it = lookups_.find(query);
        if (it != lookups_.end()) {
            it->second.timer = timer;
        }
    }
    for (const auto& it : remote) {
        send(it, registry_lookup{query, key_hash});
    }
}

void registry_links::finish(std::uint64_t query, std::optional<std::string> response_id, bool final)
{
    lookup done;
    {
        const std::lock_guard lock(mutex_);
        const auto it = lookups_.find(query);
        if (it == lookups_.end()) {
            return;
        }
        if (!response_id && !final && --it->second.pending_replies > 0) {
            return;
        }
        done = std::move(it->second);
        lookups_.erase(it);
    }
    pool_.timers().cancel(done.timer);
    done.callback(std::move(response_id));
}

void registry_links::send(const std::string& address, message value)
{
    const auto kind = message_type(value);
    link_ptr link;
    std::string payload;
    {
        const std::lock_guard lock(mutex_);
        payload = encode({view_->configuration->generation, std::move(value)});
        count_sent(kind, payload.size(), counters_);
        auto& to = peers_[address];
        if (!to.client) {
            link_handlers handlers;
            handlers.on_open = [this, address](const link_ptr& it) { on_link_open(address, it); };
            handlers.on_message = [this](const link_ptr& it, const std::string& text) { handle_reply(it, text); };
            // Connecting is asynchronous, so no handler is called while the lock is held.
            to.client = make_link_client(pool_, address, options_, std::move(handlers), counters_);
        }
        link = to.client->current();
        if (!link && to.outbox.size() < max_outbox_messages) {
            to.outbox.push_back(payload);
        }
    }
    if (link) {
        link->send(std::move(payload));
    }
}

void registry_links::on_link_open(const std::string& address, const link_ptr& link)
{
    std::vector<std::string> queued;
    {
        const std::lock_guard lock(mutex_);
        const auto it = peers_.find(address);
        if (it != peers_.end()) {
            queued = std::exchange(it->second.outbox, {});
        }
    }
    for (auto& it : queued) {
        link->send(std::move(it));
    }
}

void registry_links::handle_reply(const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    const auto* entry = std::get_if<registry_entry>(&decoded->body);
    if (entry == nullptr) {
        reject_message(link, "unexpected message", counters_);
        return;
    }
    finish(entry->query, entry->response_id.empty() ? std::nullopt : std::optional<std::string>(entry->response_id),
           false);
}

link_handlers registry_links::server_handlers()
{
    link_handlers out;
    out.on_message = [this](const link_ptr& link, const std::string& payload) { handle_request(link, payload); };
    return out;
}

void registry_links::handle_request(const link_ptr& link, const std::string& payload)
{
    const auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    const auto& body = decoded->body;
    if (const auto* entry = std::get_if<registry_put>(&body)) {
        const std::lock_guard lock(mutex_);
        registry_.put(pool_.timers().now(), entry->key_hash, entry->response_id);
    } else if (const auto* lookup_request = std::get_if<registry_lookup>(&body)) {
        registry_entry answer{lookup_request->query, {}};
        config_generation generation = 0;
        {
            const std::lock_guard lock(mutex_);
            answer.response_id = registry_.find(pool_.timers().now(), lookup_request->key_hash).value_or(std::string());
            generation = view_->configuration->generation;
        }
        send_counted(*link, {generation, std::move(answer)}, counters_);
    } else {
        reject_message(link, "unexpected message", counters_);
    }
}

} // namespace anvillead
