#include "apps/common/agent_link.h"

#include "core/log.h"
#include "messages/codec.h"

namespace anvillead {

agent_link::agent_link(worker_pool& pool, const std::string& address, link_options options, metrics& counters,
                       std::function<void(view_ptr)> on_view)
    : on_view_(std::move(on_view))
{
    link_handlers handlers;
    handlers.on_open = [this](const link_ptr& link) { send_report(link); };
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) { received(link, payload); };
    client_ = make_link_client(pool, address, std::move(options), std::move(handlers), counters);
}

agent_link::~agent_link()
{
    client_->stop();
}

view_ptr agent_link::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

void agent_link::report(process_report value)
{
    {
        const std::lock_guard lock(mutex_);
        report_ = std::move(value);
    }
    send_report(client_->current());
}

void agent_link::send(message value)
{
    const auto link = client_->current();
    if (link) {
        link->send(encode({current()->configuration->generation, std::move(value)}));
    }
}

void agent_link::send_report(const link_ptr& link)
{
    if (!link) {
        return;
    }
    process_report copy;
    {
        const std::lock_guard lock(mutex_);
        copy = report_;
        copy.generation = current_->configuration->generation;
    }
    if (!copy.role.empty()) {
        link->send(encode({copy.generation, copy}));
    }
}

void agent_link::received(const link_ptr& link, const std::string& payload)
{
    auto decoded = decode(payload);
    if (!decoded) {
        log(log_level::warning, log_event::message_rejected,
            {{"peer", link->peer()}, {"problem", decoded.error().message}});
        link->close("invalid message");
        return;
    }
    if (auto* value = std::get_if<view>(&decoded.value().body)) {
        apply(std::move(*value));
    }
}

void agent_link::apply(view value)
{
    auto next = std::make_shared<view_snapshot>();
    bool generation_changed = false;
    {
        const std::lock_guard lock(mutex_);
        *next = *current_;
        if (value.configuration && value.configuration->generation > current_->configuration->generation) {
            next->configuration = std::make_shared<accepted_configuration>(std::move(*value.configuration));
            generation_changed = true;
        }
        next->members = std::move(value.members);
        next->leaving_upstreams = std::move(value.leaving_upstreams);
        current_ = next;
    }
    if (generation_changed) {
        log(log_level::info, log_event::configuration_applied,
            {{"generation", std::to_string(next->configuration->generation)}, {"digest", next->configuration->digest}});
        send_report(client_->current());
    }
    on_view_(next);
}

} // namespace anvillead
