#include "node/platform_feed.h"

#include <algorithm>

#include "core/bounded_json.h"
#include "core/log.h"
#include "fleet/report_exchange.h"
#include "platform/configuration_reader.h"
#include "platform/upstream_reader.h"

namespace anvillead {

namespace {

// A pending watch call reveals an outage of the store only when it times out, and engines leave within two seconds. Few
// hosts follow the platform, so short watch calls cost little.
constexpr milliseconds upstream_watch_timeout{700};
// More than ten engines of a large fleet change their entries each second, and each call that returns a change costs
// the store as much as one that returns many. Two hosts follow the directory, so a change is known sooner than this.
constexpr milliseconds gather_time{150};
// Removals are kept for this many revisions to pass them to other hosts; a host that is further behind reads the
// complete directory from the platform.
constexpr std::uint64_t removal_retention = 2000;
// Rejected entries that are remembered, so that each is logged once.
constexpr std::size_t max_rejected_entries = 1000;
// Longest time for which a host that does not follow the platform tries to read the configuration there.
constexpr milliseconds fetch_time{2000};

follower_limits upstream_follower_limits()
{
    follower_limits out;
    out.watch_timeout = upstream_watch_timeout;
    return out;
}

} // namespace

platform_feed::platform_feed(node_context& context, const sources& collections, std::function<void()> on_configuration)
    : context_(context), on_configuration_(std::move(on_configuration)),
      configuration_follower_(std::make_shared<collection_follower>(collections.configuration, context.timers,
                                                                    "configuration", configuration_hooks())),
      upstream_follower_(std::make_shared<collection_follower>(collections.upstreams, context.timers, "upstreams",
                                                               upstream_hooks(), upstream_follower_limits())),
      evacuations_(context, collections.evacuations, [this](const evacuation_state& value) {
          state_.evacuations = value;
          context_.on_work_changed();
      })
{}

void platform_feed::start()
{
    configuration_follower_->start();
    upstream_follower_->start();
    evacuations_.start();
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
        evacuations_.stop();
    }
}

void platform_feed::fetch_configuration()
{
    if (fetch_until_ != instant{}) {
        return;
    }
    fetched_after_ = configuration_version();
    fetch_until_ = context_.timers.now() + fetch_time;
    log(log_level::warning, log_event::configuration_overdue,
        {{"version", std::to_string(fetched_after_)}, {"action", "reads it from the platform"}});
    context_.counters.add("configuration_overdue_total");
    configuration_follower_->refresh();
}

void platform_feed::expire()
{
    evacuations_.expire();
    const bool fetching = fetch_until_ != instant{};
    if (fetching && (configuration_version() > fetched_after_ || context_.timers.now() >= fetch_until_)) {
        fetch_until_ = {};
        if (!following_) {
            configuration_follower_->stop();
        }
    }
}

void platform_feed::refresh()
{
    if (following_) {
        configuration_follower_->refresh();
        upstream_follower_->refresh();
        evacuations_.refresh();
    }
}

collection_follower::hooks platform_feed::configuration_hooks()
{
    collection_follower::hooks out;
    out.on_listing_part = [this](const listing_part& part) { apply_configuration_items(part.items); };
    out.on_listing = [](const std::set<std::string>&) {};
    out.on_changes = [this](const std::vector<collection_item>& items) { apply_configuration_items(items); };
    out.on_disconnected = [](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "configuration"}, {"problem", reason.message}});
    };
    out.on_connected = [] { log(log_level::info, log_event::platform_reachable, {{"collection", "configuration"}}); };
    return out;
}

collection_follower::hooks platform_feed::upstream_hooks()
{
    collection_follower::hooks out;
    out.on_listing_part = [this](const listing_part& part) { apply_upstream_part(part); };
    out.on_listing = [this](const std::set<std::string>& names) { finish_upstream_listing(names); };
    out.on_incomplete_listing = [this] { partly_listed_ = true; };
    out.on_changes = [this](const std::vector<collection_item>& items) { update_upstreams(items); };
    out.gather_time = [this] {
        return context_.peers.live_count() + 1 > relay_limits().max_direct_hosts ? gather_time : milliseconds(0);
    };
    out.on_disconnected = [](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "upstreams"}, {"problem", reason.message}});
    };
    out.on_connected = [] { log(log_level::info, log_event::platform_reachable, {{"collection", "upstreams"}}); };
    return out;
}

void platform_feed::apply_configuration_items(const std::vector<collection_item>& items)
{
    for (const auto& it : items) {
        if (it.name == platform::configuration_name && !it.deleted) {
            apply_configuration(it.value, it.value.dump(), "platform");
        }
    }
}

void platform_feed::apply_configuration(const nlohmann::json& object, std::string text, const std::string& source)
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
    state_.configuration = std::move(text);
    state_.configuration_version = context_.routes->version;
    std::map<service_name, warmup_profile> warmups;
    for (const auto& [name, profile] : context_.routes->services) {
        warmups.emplace(name, profile.warmup);
    }
    context_.directory.set_warmups(std::move(warmups));
    log(log_level::info, log_event::configuration_applied,
        {{"version", std::to_string(context_.routes->version)},
         {"routes", std::to_string(context_.routes->routes.size())},
         {"source", source}});
    on_configuration_();
}

void platform_feed::begin_era(std::uint32_t era)
{
    if (era_ && *era_ < era) {
        log(log_level::warning, log_event::platform_forgot,
            {{"era", std::to_string(era)}, {"configuration", std::to_string(configuration_version())}});
        context_.directory.on_platform_forgot(context_.timers.now());
        if (on_new_era_) {
            on_new_era_();
        }
    }
    era_ = std::max(era_.value_or(era), era);
}

void platform_feed::apply_upstream_part(const listing_part& part)
{
    begin_era(part.revision.era());
    for (const auto& it : part.items) {
        apply_upstream(it, part.revision);
    }
    context_.on_work_changed();
}

void platform_feed::finish_upstream_listing(const std::set<std::string>& names)
{
    const auto revision = upstream_follower_->revision();
    for (const auto& [name, entry] : state_.upstreams) {
        if (names.count(name) == 0 && !entry.value.is_null()) {
            apply_upstream({name, nullptr, true}, revision);
        }
    }
    for (auto it = rejected_entries_.begin(); it != rejected_entries_.end();) {
        it = names.count(*it) == 0 ? rejected_entries_.erase(it) : std::next(it);
    }
    partly_listed_ = false;
    advance_upstream_revision(revision);
}

void platform_feed::update_upstreams(const std::vector<collection_item>& items)
{
    const auto revision = upstream_follower_->revision();
    for (const auto& it : items) {
        apply_upstream(it, revision);
    }
    advance_upstream_revision(revision);
}

void platform_feed::advance_upstream_revision(store_revision revision)
{
    state_.upstream_revision = std::max(state_.upstream_revision, revision);
    context_.directory.finish_first_listing();
    for (auto it = state_.upstreams.begin(); it != state_.upstreams.end();) {
        const auto removed_at = it->second.revision;
        const bool expired =
            it->second.value.is_null() && (removed_at.era() != state_.upstream_revision.era() ||
                                           removed_at.number() + removal_retention < state_.upstream_revision.number());
        it = expired ? state_.upstreams.erase(it) : std::next(it);
    }
    context_.on_work_changed();
}

void platform_feed::report_rejected(const std::string& name, const error& problem)
{
    context_.counters.add("upstream_entries_rejected_total");
    if (rejected_entries_.size() >= max_rejected_entries) {
        // The lines of the entries that are still there are written again.
        rejected_entries_.clear();
    }
    if (rejected_entries_.insert(name).second) {
        log(log_level::warning, log_event::upstream_entry_rejected, {{"problem", problem.message}});
    }
}

void platform_feed::apply_upstream(const collection_item& item, store_revision revision)
{
    const auto now = context_.timers.now();
    const auto record = platform::read_upstream(item.name, item.value);
    if (item.deleted || record) {
        rejected_entries_.erase(item.name);
    } else {
        report_rejected(item.name, record.error());
    }
    if (!platform::is_upstream_id(item.name)) {
        return;
    }
    auto& entry = state_.upstreams[item.name];
    if (entry.revision > revision) {
        // Another host has already provided a later change.
        return;
    }
    entry.revision = revision;
    if (!item.deleted && record) {
        entry.value = item.value;
        context_.directory.apply(now, record.value());
        return;
    }
    // An entry that cannot be parsed describes no usable upstream, and other hosts need not get it.
    entry.value = nullptr;
    context_.directory.remove(now, upstream_id(item.name));
}

void platform_feed::apply_update(const state_update& value)
{
    const auto version = configuration_version();
    if (!value.configuration.empty()) {
        apply_configuration(parse_bounded_json(value.configuration).value_or(nullptr), value.configuration, "host");
    }
    if (configuration_version() > version && configuration_connected()) {
        // The platform's notification to this host was lost without an error.
        configuration_follower_->refresh();
    }
    if (value.evacuations) {
        evacuations_.apply(*value.evacuations);
    }
    if (value.upstream_revision <= state_.upstream_revision) {
        return;
    }
    begin_era(value.upstream_revision.era());
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
    advance_upstream_revision(value.upstream_revision);
    if (connected()) {
        upstream_follower_->refresh();
    }
}

} // namespace anvillead
