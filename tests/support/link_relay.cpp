#include "tests/support/link_relay.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

#include "messages/codec.h"
#include "tests/support/cluster.h"

namespace testing {

namespace {

using namespace anvillead;

bool has_role(const link_ptr& link, const std::string& role)
{
    return link->peer().rfind(role + "/", 0) == 0;
}

/// Returns the generation of the configuration that a message contains with its parts; 0 for any other message.
config_generation configuration_generation_of(const std::string& payload)
{
    const auto decoded = decode(payload);
    if (!decoded) {
        return 0;
    }
    const auto of = [](const auto& value) {
        return value.configuration && !value.parts.empty() ? value.configuration->generation : 0;
    };
    if (const auto* push = std::get_if<state_push>(&decoded.value().body)) {
        return of(*push);
    }
    const auto* sent = std::get_if<view>(&decoded.value().body);
    return sent != nullptr ? of(*sent) : 0;
}

} // namespace

link_relay::link_relay(const std::string& target) : pool_(1), target_(target)
{
    link_handlers handlers;
    handlers.on_open = [this](const link_ptr& link) { on_link_open(link); };
    handlers.on_message = [this](const link_ptr& link, std::string payload) {
        forward_to_target(link, std::move(payload));
    };
    handlers.on_closed = [this](const link_ptr& link) { on_link_closed(link); };
    server_ = make_link_server(pool_, "127.0.0.1:0", {{fleet_key}, "agent/relay/1"}, std::move(handlers), counters_);
    pool_.start();
}

link_relay::~link_relay()
{
    pool_.stop();
    pool_.join();
}

void link_relay::on_link_open(const link_ptr& link)
{
    link_handlers handlers;
    handlers.on_open = [this, link](const link_ptr& to) {
        std::vector<std::string> waiting;
        {
            const std::lock_guard lock(mutex_);
            const auto it = links_.find(link);
            if (it != links_.end()) {
                waiting = std::exchange(it->second.waiting, {});
            }
        }
        for (auto& it : waiting) {
            to->send(std::move(it));
        }
    };
    handlers.on_message = [this, link](const link_ptr&, const std::string& payload) {
        forward_to_client(link, payload);
    };
    const std::lock_guard lock(mutex_);
    auto client = make_link_client(pool_, target_, {{fleet_key}, link->peer()}, std::move(handlers), counters_);
    clients_.push_back(client);
    links_[link] = {link, std::move(client), {}};
}

void link_relay::on_link_closed(const link_ptr& link)
{
    std::shared_ptr<ilink_client> client;
    {
        const std::lock_guard lock(mutex_);
        const auto it = links_.find(link);
        if (it == links_.end()) {
            return;
        }
        client = it->second.client;
        links_.erase(it);
    }
    client->stop();
}

void link_relay::forward_to_target(const link_ptr& link, std::string payload)
{
    link_ptr to;
    {
        const std::lock_guard lock(mutex_);
        const auto it = links_.find(link);
        if (it == links_.end()) {
            return;
        }
        to = it->second.client->current();
        if (!to) {
            it->second.waiting.push_back(std::move(payload));
            return;
        }
    }
    to->send(std::move(payload));
}

void link_relay::forward_to_client(const link_ptr& link, const std::string& payload)
{
    const auto generation = configuration_generation_of(payload);
    if (generation > 0) {
        {
            const std::lock_guard lock(mutex_);
            recorded_.emplace(generation, payload);
        }
        if (replay_next_ > 0 && has_role(link, "agent")) {
            link->send(recorded(replay_next_.exchange(0)));
            ++replayed_;
        }
    }
    link->send(payload);
}

int link_relay::open(const std::string& role) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(links_.begin(), links_.end(), [&](const auto& it) { return has_role(it.first, role); }));
}

void link_relay::replay(const std::string& role, config_generation generation)
{
    const auto payload = recorded(generation);
    std::vector<link_ptr> to;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [link, it] : links_) {
            if (has_role(link, role)) {
                to.push_back(link);
            }
        }
    }
    for (const auto& it : to) {
        it->send(payload);
        ++replayed_;
    }
}

std::string link_relay::recorded(config_generation generation) const
{
    const std::lock_guard lock(mutex_);
    const auto it = recorded_.find(generation);
    if (it == recorded_.end()) {
        throw std::runtime_error(fmt::format("no configuration of generation {} has been forwarded", generation));
    }
    return it->second;
}

} // namespace testing
