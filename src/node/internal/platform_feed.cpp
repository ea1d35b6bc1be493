#include "node/platform_feed.h"

#include <algorithm>

#include "core/log.h"
#include "platform/configuration_reader.h"
#include "platform/upstream_reader.h"

namespace anvillead {

namespace {

// Calls that wait show an outage of the store only when their wait ends, and engines leave within two seconds. Few
// hosts follow the platform, so short waits cost little.
constexpr milliseconds upstream_wait{700};
// Removed entries are told to other hosts for as many revisions; a host that is further behind takes the whole
// directory from the platform.
constexpr std::uint64_t removal_memory = 2000;

follower_limits upstream_limits()
{
    follower_limits out;
    out.wait = upstream_wait;
    return out;
}

} // namespace

platform_feed::platform_feed(node_context& context, iobject_collection& configuration, iobject_collection& upstreams,
                             std::function<void()> on_configuration)
    : context_(context), on_configuration_(std::move(on_configuration)),
      configuration_follower_(
          std::make_shared<collection_follower>(configuration, context.timers, "configuration", configuration_hooks())),
      upstream_follower_(std::make_shared<collection_follower>(upstreams, context.timers, "upstreams", upstream_hooks(),
                                                               upstream_limits()))
{}

void platform_feed::start()
{
    configuration_follower_->start();
    upstream_follower_->start();
}

void platform_feed::set_following(bool value)
{
    if (std::exchange(following_, value) == value) {
        return;
    }
    log(log_level::info, log_event::platform_follower_changed, {{"follows", value ? "yes" : "no"}});
    if (value) {
        refresh();
    } else {
        configuration_follower_->stop();
        upstream_follower_->stop();
    }
}

void platform_feed::refresh()
{
    if (following_) {
        configuration_follower_->refresh();
        upstream_follower_->refresh();
    }
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
    out.on_regained = [] { log(log_level::info, log_event::platform_reachable, {{"collection", "configuration"}}); };
    return out;
}

collection_follower::hooks platform_feed::upstream_hooks()
{
    collection_follower::hooks out;
    out.on_listing = [this](const std::vector<collection_item>& items) { list_upstreams(items); };
    out.on_changes = [this](const std::vector<collection_item>& items) { change_upstreams(items); };
    out.on_lost = [](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "upstreams"}, {"problem", reason.message}});
    };
    out.on_regained = [] { log(log_level::info, log_event::platform_reachable, {{"collection", "upstreams"}}); };
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
    state_.configuration_version = context_.routes->version;
    log(log_level::info, log_event::configuration_applied,
        {{"version", std::to_string(context_.routes->version)},
         {"routes", std::to_string(context_.routes->routes.size())}});
    on_configuration_();
}

void platform_feed::list_upstreams(const std::vector<collection_item>& items)
{
    const auto revision = upstream_follower_->revision();
    std::set<std::string> listed;
    for (const auto& it : items) {
        listed.insert(it.name);
    }
    for (const auto& [name, entry] : state_.upstreams) {
        if (listed.count(name) == 0 && !entry.value.is_null()) {
            apply_upstream({name, nullptr, true}, revision);
        }
    }
    for (const auto& it : items) {
        apply_upstream(it, revision);
    }
    reach_upstream_revision(revision);
}

void platform_feed::change_upstreams(const std::vector<collection_item>& items)
{
    const auto revision = upstream_follower_->revision();
    for (const auto& it : items) {
        apply_upstream(it, revision);
    }
    reach_upstream_revision(revision);
}

void platform_feed::reach_upstream_revision(std::uint64_t revision)
{
    state_.upstream_revision = std::max(state_.upstream_revision, revision);
    for (auto it = state_.upstreams.begin(); it != state_.upstreams.end();) {
        const bool old = it->second.value.is_null() && it->second.revision + removal_memory < state_.upstream_revision;
        it = old ? state_.upstreams.erase(it) : std::next(it);
    }
    context_.work_changed();
}

void platform_feed::apply_upstream(const collection_item& item, std::uint64_t revision)
{
    const auto now = context_.timers.now();
    auto& entry = state_.upstreams[item.name];
    if (entry.revision > revision) {
        // Another host has told of a later change.
        return;
    }
    entry.revision = revision;
    if (item.deleted) {
        entry.value = nullptr;
        context_.directory.remove(now, upstream_id(item.name));
        return;
    }
    entry.value = item.value;
    const auto record = platform::read_upstream(item.name, item.value);
    if (record) {
        rejected_.erase(item.name);
        context_.directory.apply(now, record.value());
        return;
    }
    if (rejected_.insert(item.name).second) {
        log(log_level::warning, log_event::upstream_entry_rejected, {{"problem", record.error().message}});
    }
    // The entry names no upstream to use.
    context_.directory.remove(now, upstream_id(item.name));
}

void platform_feed::adopt(const state_update& value)
{
    const auto version = configuration_version();
    if (value.configuration.is_object()) {
        apply_configuration(value.configuration);
    }
    if (configuration_version() > version && configuration_connected()) {
        // The platform's notification went missing without an error.
        configuration_follower_->refresh();
    }
    if (value.upstream_revision <= state_.upstream_revision) {
        return;
    }
    if (value.whole) {
        for (const auto& [name, entry] : state_.upstreams) {
            if (value.upstreams.count(name) == 0 && !entry.value.is_null()) {
                apply_upstream({name, nullptr, true}, value.upstream_revision);
            }
        }
    }
    for (const auto& [name, object] : value.upstreams) {
        apply_upstream({name, object, object.is_null()}, value.upstream_revision);
    }
    reach_upstream_revision(value.upstream_revision);
    if (connected()) {
        upstream_follower_->refresh();
    }
}

} // namespace anvillead
