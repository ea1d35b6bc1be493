#include "node/platform_feed.h"

#include <algorithm>

#include "core/log.h"
#include "platform/configuration_reader.h"
#include "platform/upstream_reader.h"

namespace anvillead {

namespace {

// Calls that wait show an outage of the store only when their wait ends, and engines leave within two seconds.
constexpr milliseconds close_wait{500};

} // namespace

platform_feed::platform_feed(node_context& context, iobject_collection& configuration, iobject_collection& upstreams,
                             std::function<void()> on_configuration)
    : context_(context), on_configuration_(std::move(on_configuration)),
      configuration_follower_(std::make_shared<collection_follower>(configuration, context.timers, "configuration",
                                                                    configuration_hooks())),
      upstream_follower_(
          std::make_shared<collection_follower>(upstreams, context.timers, "upstreams", upstream_hooks()))
{}

void platform_feed::start()
{
    configuration_follower_->start();
    upstream_follower_->start();
}

void platform_feed::watch_closely(bool value)
{
    upstream_follower_->set_wait(value ? close_wait : follower_limits().wait);
}

void platform_feed::refresh()
{
    configuration_follower_->refresh();
    upstream_follower_->refresh();
}

collection_follower::hooks platform_feed::configuration_hooks()
{
    collection_follower::hooks out;
    out.on_listing = [this](const std::vector<collection_item>& items) { take_configuration(items); };
    out.on_changes = [this](const std::vector<collection_item>& items) { take_configuration(items); };
    out.on_lost = [](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "configuration"}, {"problem", reason.message}});
    };
    out.on_regained = [] {
        log(log_level::info, log_event::platform_reachable, {{"collection", "configuration"}});
    };
    return out;
}

collection_follower::hooks platform_feed::upstream_hooks()
{
    collection_follower::hooks out;
    out.on_listing = [this](const std::vector<collection_item>& items) { list_upstreams(items); };
    out.on_changes = [this](const std::vector<collection_item>& items) { change_upstreams(items); };
    out.on_lost = [this](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "upstreams"}, {"problem", reason.message}});
        context_.directory.platform_lost();
    };
    out.on_regained = [this] {
        log(log_level::info, log_event::platform_reachable, {{"collection", "upstreams"}});
        context_.directory.platform_regained(context_.timers.now());
    };
    return out;
}

void platform_feed::take_configuration(const std::vector<collection_item>& items)
{
    for (const auto& it : items) {
        if (it.name == platform::configuration_name && !it.deleted) {
            apply_configuration(it.value);
        }
    }
}

void platform_feed::apply_configuration(const nlohmann::json& object)
{
    auto table = platform::read_configuration(object);
    if (!table) {
        log(log_level::error, log_event::configuration_rejected, {{"problem", table.error().message}});
        return;
    }
    if (table.value()->version <= configuration_version()) {
        return;
    }
    context_.routes = table.value();
    state_.configuration = object;
    log(log_level::info, log_event::configuration_applied,
        {{"version", std::to_string(context_.routes->version)},
         {"routes", std::to_string(context_.routes->routes.size())}});
    on_configuration_();
}

void platform_feed::list_upstreams(const std::vector<collection_item>& items)
{
    std::vector<upstream_record> records;
    state_.upstreams = nlohmann::json::object();
    for (const auto& it : items) {
        state_.upstreams[it.name] = it.value;
        const auto record = platform::read_upstream(it.name, it.value);
        if (record && !it.deleted) {
            records.push_back(record.value());
        }
    }
    context_.directory.replace(context_.timers.now(), records);
    upstream_revision_reached();
}

void platform_feed::change_upstreams(const std::vector<collection_item>& items)
{
    for (const auto& it : items) {
        apply_upstream(it);
    }
    upstream_revision_reached();
}

void platform_feed::upstream_revision_reached()
{
    state_.upstream_revision = std::max(state_.upstream_revision, upstream_follower_->revision());
    context_.work_changed();
}

void platform_feed::apply_upstream(const collection_item& item)
{
    const auto now = context_.timers.now();
    if (item.deleted) {
        state_.upstreams.erase(item.name);
        context_.directory.remove(now, upstream_id(item.name));
        return;
    }
    state_.upstreams[item.name] = item.value;
    const auto record = platform::read_upstream(item.name, item.value);
    if (record) {
        rejected_.erase(item.name);
        context_.directory.apply(now, record.value());
        return;
    }
    if (rejected_.insert(item.name).second) {
        log(log_level::warning, log_event::upstream_entry_rejected, {{"problem", record.error().message}});
    }
    // Another program's entry under a known name says nothing about that upstream's work, but it is not to be used.
    context_.directory.remove(now, upstream_id(item.name));
}

void platform_feed::adopt(const platform_state& value)
{
    const auto version = configuration_version();
    if (value.configuration.is_object()) {
        apply_configuration(value.configuration);
    }
    if (configuration_version() > version && configuration_follower_->connected()) {
        // The platform's notification went missing without an error.
        configuration_follower_->refresh();
    }
    if (value.upstream_revision <= state_.upstream_revision) {
        return;
    }
    std::vector<collection_item> items;
    for (const auto& [name, object] : value.upstreams.items()) {
        items.push_back({name, object, false});
    }
    const auto revision = value.upstream_revision;
    list_upstreams(items);
    state_.upstream_revision = std::max(state_.upstream_revision, revision);
    if (upstream_follower_->connected()) {
        upstream_follower_->refresh();
    }
}

} // namespace anvillead
