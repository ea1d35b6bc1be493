#include "apps/agent/agent_daemon.h"

#include <algorithm>

#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "configuration/parts.h"
#include "core/log.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

constexpr milliseconds tick_period{100};
// A starting agent sends its processes no view until it has joined the other members or this time has passed.
constexpr milliseconds join_timeout{3000};
// Time for the announcement that this host is leaving to reach the other agents.
constexpr milliseconds leave_propagation_time{1500};
constexpr milliseconds drain_check_period{200};

bool is_agent(const link_ptr& link)
{
    return link->peer().rfind("agent/", 0) == 0;
}

} // namespace

agent_daemon::agent_daemon(worker_pool& pool, agent_settings settings)
    : pool_(pool), settings_(std::move(settings)), sequence_(pool.make_sequence()), started_(pool.timers().now())
{
    self_.host = settings_.common.host;
    self_.availability_zone = settings_.common.availability_zone;
    self_.number = new_incarnation();
    link_options_ = make_link_options(settings_.common, "agent", self_.number);
    make_server();
    self_.addresses.agent_link = reachable_address(settings_.link_advertise, server_->address());
    make_components();
    status_ = std::make_unique<status_server>(pool, settings_.http_listen, counters_, [this] { return ready_.load(); });
    log(log_level::info, log_event::process_started,
        {{"link", server_->address()}, {"probe", membership_->probe_address()}, {"http", status_->address()}});
}

agent_daemon::~agent_daemon() = default;

void agent_daemon::make_server()
{
    link_handlers handlers;
    handlers.on_open = [this](const link_ptr& link) {
        if (!is_agent(link)) {
            sequence_->post([this, link] { publisher_->on_link_opened(link); });
        }
    };
    handlers.on_closed = [this](const link_ptr& link) {
        if (!is_agent(link)) {
            sequence_->post([this, link] { publisher_->on_link_closed(pool_.timers().now(), link); });
        }
    };
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) { on_message(link, payload); };
    server_ = make_link_server(pool_, settings_.link_listen, link_options_, std::move(handlers), counters_);
}

void agent_daemon::make_components()
{
    peer_puller::hooks puller_hooks;
    puller_hooks.own_generation = [this] { return follower_->accepted().generation; };
    puller_hooks.missing_parts = [this] { return follower_->parts().missing(max_parts_per_pull); };
    puller_hooks.on_push = [this](const state_push& value) { on_state_push(value); };
    puller_ = std::make_unique<peer_puller>(pool_, sequence_, link_options_, counters_, std::move(puller_hooks));
    membership_ = std::make_unique<membership_driver>(
        pool_, sequence_, settings_, self_, counters_,
        [this](const pull_state& it) { puller_->pull(it.address, it.members); },
        [this] { publisher_->publish(pool_.timers().now()); });
    platform_follower::hooks follower_hooks;
    follower_hooks.members = [this] { return membership_->core().members_since(0); };
    follower_hooks.on_configuration_applied = [this](const accepted_configuration& value) {
        on_configuration_applied(value);
    };
    follower_hooks.on_hosts_read = [this](const std::vector<platform_host>& hosts) {
        hosts_ = hosts;
        apply_host_list();
    };
    follower_ = std::make_unique<platform_follower>(pool_, sequence_, settings_, counters_, std::move(follower_hooks));
    local_publisher::hooks publisher_hooks;
    publisher_hooks.accepted = [this]() -> const accepted_configuration& { return follower_->accepted(); };
    publisher_hooks.changed_parts = [this] { return follower_->parts().changed_texts(); };
    publisher_hooks.members = [this]() -> const membership& { return membership_->core(); };
    publisher_hooks.ready = [this] { return may_publish(); };
    publisher_hooks.on_roles_changed = [this] { on_roles_changed(); };
    publisher_ = std::make_unique<local_publisher>(settings_.common.host, counters_, std::move(publisher_hooks));
}

void agent_daemon::run()
{
    pool_.on_stop_signal([this] { sequence_->post([this] { handle_stop_signal(); }); });
    sequence_->post([this] {
        membership_->apply([this](membership& it, instant) {
            it.set_seeds(settings_.seeds);
            return membership_actions();
        });
        follower_->start();
    });
    pool_.timers().every(tick_period, [this] {
        sequence_->post([this] {
            // Membership must run first: after a pause it detects that its table is outdated and prevents publishing.
            membership_->tick();
            publisher_->tick(pool_.timers().now());
        });
    });
    pool_.run();
    log(log_level::info, log_event::process_stopped, {});
}

void agent_daemon::on_message(const link_ptr& link, const std::string& payload)
{
    auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    sequence_->post([this, link, value = std::move(*decoded)] { handle_message(link, value); });
}

void agent_daemon::handle_message(const link_ptr& link, const envelope& value)
{
    const auto now = pool_.timers().now();
    if (const auto* report = std::get_if<process_report>(&value.body)) {
        publisher_->on_report(now, link, *report);
    } else if (const auto* upstream = std::get_if<upstream_report>(&value.body)) {
        membership_->apply([upstream](membership& it, instant at) {
            return it.report_upstream(at, {upstream->id, upstream_source::load}, upstream->leaving);
        });
    } else if (const auto* pull = std::get_if<state_pull>(&value.body)) {
        handle_state_pull(link, *pull);
    }
    if (value.generation > follower_->accepted().generation) {
        pull_newest_configuration();
    }
}

void agent_daemon::handle_state_pull(const link_ptr& link, const state_pull& value)
{
    const auto& accepted = follower_->accepted();
    if (!is_agent(link)) {
        if (!value.parts.empty()) {
            state_push parts;
            parts.parts = follower_->parts().texts(value.parts);
            send_counted(*link, {accepted.generation, std::move(parts)}, counters_);
        } else if (accepted.generation > value.have) {
            publisher_->on_configuration_pull(pool_.timers().now(), link, value.have);
        } else {
            pull_newest_configuration();
        }
        return;
    }
    state_push out;
    out.parts = follower_->parts().texts(value.parts);
    if (accepted.generation > value.have) {
        out.configuration = accepted;
        if (value.parts.empty()) {
            out.parts = follower_->parts().changed_texts();
        }
    }
    if (value.members && membership_->core().can_serve_state(pool_.timers().now())) {
        for (const auto& [host, it] : membership_->core().table().entries()) {
            out.members.push_back(it.record);
        }
        out.upstreams = membership_->core().upstreams().all();
    }
    send_counted(*link, {accepted.generation, std::move(out)}, counters_);
}

void agent_daemon::pull_newest_configuration()
{
    // A process or peer reported a generation that this agent does not have.
    const member* newest = nullptr;
    for (const auto& [host, it] : membership_->core().table().entries()) {
        const auto& record = it.record;
        if (host == settings_.common.host || record.state == member_state::dead ||
            record.addresses.agent_link.empty()) {
            continue;
        }
        if (newest == nullptr || record.generation > newest->generation) {
            newest = &record;
        }
    }
    if (newest != nullptr) {
        puller_->pull(newest->addresses.agent_link, false);
    }
}

void agent_daemon::on_state_push(const state_push& value)
{
    std::vector<part_ptr> parts;
    for (const auto& it : value.parts) {
        auto part = parse_part(it);
        if (part) {
            parts.push_back(std::move(part.value()));
        } else {
            counters_.add("messages_rejected_total");
            log(log_level::warning, log_event::message_rejected, {{"problem", part.error().message}});
        }
    }
    if (value.configuration || !parts.empty()) {
        follower_->on_peer(value.configuration, parts);
    }
    if (!value.members.empty()) {
        membership_->apply(
            [&](membership& it, instant now) { return it.on_state(now, value.members, value.upstreams); });
        publisher_->publish(pool_.timers().now());
    }
}

void agent_daemon::on_configuration_applied(const accepted_configuration& value)
{
    log(log_level::info, log_event::configuration_applied,
        {{"generation", std::to_string(value.generation)}, {"digest", value.digest}});
    ready_ = true;
    membership_->apply([&](membership& it, instant now) { return it.set_generation(now, value.generation); });
    // The configuration determines which entries of the host list are upstreams.
    apply_host_list();
    publisher_->publish(pool_.timers().now());
}

void agent_daemon::on_roles_changed()
{
    const auto& roles = publisher_->roles();
    membership_->apply([&](membership& core, instant now) {
        return core.update_self(now, [&](member& it) {
            it.addresses.gateway_http = roles.gateway_http;
            it.addresses.gateway_link = roles.gateway_link;
            it.addresses.scheduler_link = roles.scheduler_link;
            it.gateway_leaving = roles.gateway_leaving;
            it.scheduler_leaving = roles.scheduler_leaving;
        });
    });
}

void agent_daemon::apply_host_list()
{
    auto seeds = settings_.seeds;
    const auto& configuration = follower_->accepted().merged;
    membership_->apply([&](membership& core, instant now) {
        membership_actions out;
        for (const auto& it : hosts_) {
            const bool is_upstream = configuration.find_upstream(upstream_id(it.id)) != nullptr;
            const auto source = is_upstream ? upstream_source::hosts : upstream_source::entry_host;
            auto more = core.report_upstream(now, {upstream_id(it.id), source}, it.leaving);
            std::move(more.begin(), more.end(), std::back_inserter(out));
            // Without a configuration, upstreams cannot be distinguished from entry hosts, and agents must not connect
            // to upstreams.
            if (has_configuration() && !is_upstream && !it.leaving && it.id != settings_.common.host.str() &&
                !it.address.empty()) {
                seeds.push_back(it.address);
            }
        }
        core.set_seeds(seeds);
        return out;
    });
}

bool agent_daemon::has_configuration() const
{
    return follower_->accepted().generation > 0;
}

bool agent_daemon::may_publish() const
{
    const auto& core = membership_->core();
    const bool alone =
        follower_->hosts_read_attempted() && !core.has_seeds() && (hosts_.empty() || has_configuration());
    const auto now = pool_.timers().now();
    return core.can_serve_state(now) && (core.has_joined() || alone || now - started_ >= join_timeout);
}

void agent_daemon::handle_stop_signal()
{
    if (std::exchange(stopping_, true)) {
        log(log_level::warning, log_event::shutdown_forced, {});
        pool_.stop();
        return;
    }
    log(log_level::info, log_event::shutdown_began, {});
    membership_->apply([](membership& it, instant now) { return it.leave(now); });
    publisher_->publish(pool_.timers().now());
    pool_.timers().after(leave_propagation_time, [this] { sequence_->post([this] { exit_when_drained(); }); });
}

void agent_daemon::exit_when_drained()
{
    // A draining gateway needs views until its last stream ends.
    if (!publisher_->has_leaving_process()) {
        pool_.stop();
        return;
    }
    pool_.timers().after(drain_check_period, [this] { sequence_->post([this] { exit_when_drained(); }); });
}

} // namespace anvillead
