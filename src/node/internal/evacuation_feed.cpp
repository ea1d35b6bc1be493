#include "node/evacuation_feed.h"

#include <algorithm>

#include "core/log.h"
#include "core/quoted_text.h"

namespace anvillead {

namespace {

// Bounds how long a change stays unnoticed when the store drops its history; an evacuation has to be in force within
// seconds. Only the hosts that follow the store wait for changes.
constexpr milliseconds watch_timeout{2000};
constexpr std::size_t max_zone_bytes = 128;

follower_limits limits()
{
    follower_limits out;
    out.watch_timeout = watch_timeout;
    return out;
}

} // namespace

evacuation_feed::evacuation_feed(node_context& context, iobject_collection* source,
                                 std::function<void(const evacuation_state&)> on_change)
    : context_(context), on_change_(std::move(on_change)),
      list_(evacuation_limits(), [this] { return zones_in_use(); }),
      follower_(source == nullptr ? nullptr
                                  : std::make_shared<collection_follower>(*source, context.timers, "evacuations",
                                                                          follower_hooks(), limits()))
{}

void evacuation_feed::start()
{
    if (follower_) {
        follower_->start();
    }
}

void evacuation_feed::refresh()
{
    following_ = true;
    if (follower_) {
        follower_->refresh();
    }
}

void evacuation_feed::stop()
{
    following_ = false;
    if (follower_) {
        follower_->stop();
    }
}

collection_follower::hooks evacuation_feed::follower_hooks()
{
    collection_follower::hooks out;
    out.on_listing_part = [this](const listing_part& part) { read_part(part); };
    out.on_listing = [this](const std::set<std::string>&) { apply_listing(); };
    out.on_incomplete_listing = [this] { apply_incomplete_listing(); };
    out.on_changes = [this](const std::vector<collection_item>& items) { apply_changes(items); };
    out.on_disconnected = [](const error& reason) {
        log(log_level::warning, log_event::platform_unreachable,
            {{"collection", "evacuations"}, {"problem", reason.message}});
    };
    out.on_connected = [] { log(log_level::info, log_event::platform_reachable, {{"collection", "evacuations"}}); };
    return out;
}

std::optional<zone_name> evacuation_feed::read_zone(const collection_item& item)
{
    if (item.name.empty() || item.name.size() > max_zone_bytes) {
        context_.counters.add("evacuation_entries_rejected_total");
        log(log_level::error, log_event::evacuation_entry_rejected,
            {{"problem", "expected the name of an availability zone"}, {"name", quote_printable(item.name)}});
        return std::nullopt;
    }
    return zone_name(item.name);
}

void evacuation_feed::read_part(const listing_part& part)
{
    if (part.is_first) {
        listing_.clear();
    }
    for (const auto& it : part.items) {
        // The name alone says what is asked for, so an entry with an unreadable value counts, too.
        if (const auto zone = read_zone(it); zone && !it.deleted) {
            listing_.insert(*zone);
        }
    }
}

void evacuation_feed::apply_incomplete_listing()
{
    partly_listed_ = true;
    if (!known_) {
        log_changes(context_.directory.evacuated(), listing_);
        context_.directory.set_evacuated(context_.timers.now(), listing_);
    }
}

void evacuation_feed::apply_listing()
{
    evacuation_state value;
    value.listed = std::exchange(listing_, {});
    value.revision = follower_->revision();
    const auto& last = list_.state();
    if (known_ && last.listed == value.listed && last.revision.era() == value.revision.era()) {
        return;
    }
    if (list_.replace(context_.timers.now(), value)) {
        publish();
    }
}

void evacuation_feed::apply_changes(const std::vector<collection_item>& items)
{
    for (const auto& it : items) {
        if (const auto zone = read_zone(it)) {
            list_.apply(context_.timers.now(), *zone, !it.deleted, follower_->revision());
        }
    }
    publish();
}

void evacuation_feed::apply(const evacuation_state& value)
{
    if (value.revision > list_.state().revision && list_.replace(context_.timers.now(), value)) {
        publish();
        if (following_) {
            // The platform's notification to this host was lost without an error.
            refresh();
        }
    }
}

void evacuation_feed::expire()
{
    const auto before = list_.in_force();
    list_.expire(context_.timers.now());
    if (list_.in_force() != before) {
        publish();
    }
}

std::string evacuation_feed::describe() const
{
    const auto now = context_.timers.now();
    nlohmann::json zones = nlohmann::json::object();
    nlohmann::json cold = nlohmann::json::array();
    for (const auto& it : list_.in_force()) {
        zones[it.str()] = nlohmann::json::array();
    }
    for (const auto& [id, entry] : context_.directory.entries()) {
        if (context_.directory.is_evacuated(entry)) {
            zones[entry.record.availability_zone.str()].push_back(id.str());
        }
        if (context_.directory.is_cold(now, entry)) {
            cold.push_back(id.str());
        }
    }
    return nlohmann::json({{"zones", zones}, {"revision", to_string(list_.state().revision)}, {"cold", cold}}).dump();
}

void evacuation_feed::publish()
{
    const auto now = context_.timers.now();
    if (list_.ignored() > 0) {
        context_.counters.add("evacuation_entries_rejected_total");
        log(log_level::error, log_event::evacuation_entry_rejected,
            {{"problem", "too many zones"}, {"ignored", std::to_string(list_.ignored())}});
    }
    known_ = true;
    const auto zones = list_.in_force();
    log_changes(context_.directory.evacuated(), zones);
    context_.directory.set_evacuated(now, zones);
    context_.counters.set("evacuated_zones", static_cast<double>(zones.size()));
    on_change_(list_.state());
}

std::set<zone_name> evacuation_feed::zones_in_use() const
{
    std::set<zone_name> out = {context_.settings.availability_zone};
    for (const auto* it : context_.peers.live()) {
        out.insert(it->availability_zone);
    }
    for (const auto& [id, entry] : context_.directory.entries()) {
        out.insert(entry.record.availability_zone);
    }
    return out;
}

void evacuation_feed::log_changes(const std::set<zone_name>& before, const std::set<zone_name>& after) const
{
    for (const auto& it : after) {
        if (before.count(it) != 0) {
            continue;
        }
        const auto& entries = context_.directory.entries();
        const auto upstreams = std::count_if(entries.begin(), entries.end(), [&it](const auto& entry) {
            return entry.second.record.availability_zone == it;
        });
        log(log_level::warning, log_event::zone_evacuated,
            {{"zone", it.str()},
             {"upstreams", std::to_string(upstreams)},
             {"revision", to_string(list_.state().revision)}});
    }
    for (const auto& it : before) {
        if (after.count(it) == 0) {
            log(log_level::info, log_event::zone_returned,
                {{"zone", it.str()}, {"revision", to_string(list_.state().revision)}});
        }
    }
}

} // namespace anvillead
