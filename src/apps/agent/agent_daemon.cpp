#include "apps/agent/agent_daemon.h"

#include "configuration/parse.h"
#include "core/crypto.h"
#include "core/log.h"
#include "messages/codec.h"

namespace anvillead {

namespace {

constexpr const char* accepted_object = "accepted";
constexpr const char* collection_prefix = "config/";

} // namespace

agent_daemon::agent_daemon(worker_pool& pool, agent_settings settings)
    : pool_(pool), settings_(std::move(settings)), sequence_(pool.make_sequence()), client_(make_http_client(pool))
{
    platform_client_options options;
    options.address = settings_.common.platform;
    platform_ = std::make_unique<http_platform_client>(*client_, sequence_, options, counters_);
    self_.host = settings_.common.host;
    self_.availability_zone = settings_.common.availability_zone;
    self_.number = new_incarnation();
    link_handlers handlers;
    handlers.on_open = [this](const link_ptr& link) { sequence_->post([this, link] { links_[link] = {}; }); };
    handlers.on_closed = [this](const link_ptr& link) { sequence_->post([this, link] { links_.erase(link); }); };
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) { received(link, payload); };
    server_ = make_link_server(pool, settings_.link_listen, make_link_options(settings_.common, "agent", self_.number),
                               std::move(handlers), counters_);
    self_.addresses.agent_link = server_->address();
    log(log_level::info, log_event::process_started, {{"link", server_->address()}});
}

agent_daemon::~agent_daemon() = default;

void agent_daemon::run()
{
    pool_.on_stop_signal([this] { pool_.stop(); });
    pool_.timers().every(settings_.platform_period, [this] { sequence_->post([this] { follow_platform(); }); });
    sequence_->post([this] { follow_platform(); });
    pool_.run();
    log(log_level::info, log_event::process_stopped, {});
}

void agent_daemon::received(const link_ptr& link, const std::string& payload)
{
    auto decoded = decode(payload);
    if (!decoded) {
        counters_.add("messages_rejected_total");
        log(log_level::warning, log_event::message_rejected,
            {{"peer", link->peer()}, {"problem", decoded.error().message}});
        link->close("invalid message");
        return;
    }
    if (const auto* value = std::get_if<process_report>(&decoded.value().body)) {
        sequence_->post([this, link, copy = *value] { report(link, copy); });
    }
}

void agent_daemon::report(const link_ptr& link, const process_report& value)
{
    links_[link] = value;
    if (value.role == "gateway") {
        self_.addresses.gateway_http = value.http_address;
        self_.addresses.gateway_link = value.link_address;
    } else {
        self_.addresses.scheduler_link = value.link_address;
    }
    if (value.leaving) {
        self_.state = member_state::leaving;
    }
    publish(link, value.generation < accepted_.generation);
    publish_all(false);
}

void agent_daemon::publish(const link_ptr& link, bool with_configuration)
{
    view out;
    if (with_configuration) {
        out.configuration = accepted_;
    }
    out.members = {self_};
    out.leaving_upstreams = accepted_.merged.drains.upstreams;
    link->send(encode({accepted_.generation, std::move(out)}));
}

void agent_daemon::publish_all(bool with_configuration)
{
    for (const auto& [link, report] : links_) {
        publish(link, with_configuration);
    }
}

void agent_daemon::follow_platform()
{
    platform_->list(collection_prefix,
                    [this](result<platform_listing> listing) { collection_read(std::move(listing)); });
}

void agent_daemon::collection_read(result<platform_listing> listing)
{
    if (bool(listing) != platform_up_) {
        platform_up_ = bool(listing);
        log(log_level::warning, platform_up_ ? log_event::platform_reachable : log_event::platform_unreachable, {});
    }
    if (!listing || listing.value().revision <= accepted_.collection_revision) {
        return;
    }
    accept(listing.value());
}

void agent_daemon::accept(const platform_listing& listing)
{
    config_files files;
    for (const auto& it : listing.objects) {
        files[it.name.substr(std::string(collection_prefix).size())] = it.value.dump();
    }
    auto merged = merge_files(files);
    if (files.empty() || !merged.problems.empty()) {
        return;
    }
    platform_->get(accepted_object, [this, listing, merged](const result<platform_object>& current) {
        accepted_configuration next;
        std::uint64_t version = 0;
        if (current) {
            const auto parsed = parse_accepted(current.value().value);
            version = current.value().version;
            if (parsed && parsed.value().collection_revision >= listing.revision) {
                apply(parsed.value());
                return;
            }
            next.generation = parsed ? parsed.value().generation : 0;
        } else if (current.error().kind != error_kind::not_found) {
            return;
        }
        ++next.generation;
        next.collection_revision = listing.revision;
        next.merged = merged.merged;
        next.digest = sha256_hex(to_json(next.merged).dump());
        platform_->put(accepted_object, to_json(next), version, [this, next](const result<std::uint64_t>& written) {
            if (written) {
                log(log_level::info, log_event::configuration_accepted,
                    {{"generation", std::to_string(next.generation)}});
                apply(next);
            }
        });
    });
}

void agent_daemon::apply(accepted_configuration value)
{
    if (value.generation <= accepted_.generation) {
        return;
    }
    accepted_ = std::move(value);
    self_.generation = accepted_.generation;
    publish_all(true);
}

} // namespace anvillead
