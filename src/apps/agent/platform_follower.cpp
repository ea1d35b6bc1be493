#include "apps/agent/platform_follower.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "core/log.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

constexpr milliseconds tick_period{100};
// Retries cover only short outages, because the accepted object contains the audit entry as well.
constexpr int max_audit_attempts = 20;
constexpr milliseconds audit_retry_delay{3000};
constexpr const char* watcher_rank_key = "configuration";

std::int64_t wall_ms(const itimer_service& timers)
{
    return std::chrono::duration_cast<milliseconds>(timers.wall_now().time_since_epoch()).count();
}

} // namespace

platform_follower::platform_follower(worker_pool& pool, std::shared_ptr<isequence> sequence,
                                     const agent_settings& settings, metrics& counters, hooks callbacks)
    : pool_(pool), sequence_(std::move(sequence)), settings_(settings), counters_(counters),
      hooks_(std::move(callbacks)), client_(make_http_client(pool)),
      core_(settings.common.host.str(), settings.platform_period)
{
    platform_client_options options;
    options.address = settings.common.platform;
    platform_ = std::make_unique<http_platform_client>(*client_, sequence_, options, counters_);
}

void platform_follower::start()
{
    pool_.timers().every(tick_period, [this] { sequence_->post([this] { tick(); }); });
}

void platform_follower::tick()
{
    const auto now = pool_.timers().now();
    role_ = compute_role();
    counters_.set("configuration_watcher", role_.watches ? 1 : 0);
    carry_out(core_.on_tick(now, wall_ms(pool_.timers()), role_));
    if ((role_.watches || !hosts_read_attempted_) && now >= next_hosts_read_) {
        next_hosts_read_ = now + settings_.hosts_period;
        read_hosts();
    }
}

acceptor_role platform_follower::compute_role() const
{
    acceptor_role out;
    std::map<zone_name, std::size_t> watchers;
    std::size_t rank = 0;
    for (const auto& it : rank_members(hooks_.members(), watcher_rank_key)) {
        if (watchers[it.availability_zone]++ >= settings_.watchers_per_zone) {
            continue;
        }
        if (it.host == settings_.common.host) {
            out.watches = true;
            out.rank = rank;
        }
        ++rank;
    }
    return out;
}

void platform_follower::read_hosts()
{
    count_request("hosts");
    platform_->hosts([this](const result<std::vector<platform_host>>& hosts) {
        hosts_read_attempted_ = true;
        set_platform_reachable(bool(hosts));
        if (hosts) {
            hooks_.on_hosts_read(hosts.value());
        }
    });
}

void platform_follower::count_request(const char* purpose)
{
    counters_.add(fmt::format("platform_requests_total{{purpose=\"{}\"}}", purpose));
}

void platform_follower::set_platform_reachable(bool reachable)
{
    if (reachable == platform_up_) {
        return;
    }
    platform_up_ = reachable;
    counters_.set("platform_up", reachable ? 1 : 0);
    log(log_level::warning, reachable ? log_event::platform_reachable : log_event::platform_unreachable, {});
}

void platform_follower::carry_out(const acceptance_actions& actions)
{
    for (const auto& it : actions) {
        std::visit([this](const auto& action) { carry_out(action); }, it);
    }
}

void platform_follower::carry_out(const watch_collection& action)
{
    count_request("watch");
    platform_->watch(config_prefix, action.after, settings_.watch_wait, [this](const result<std::uint64_t>& revision) {
        set_platform_reachable(bool(revision));
        carry_out(core_.on_watch(pool_.timers().now(), revision));
    });
}

void platform_follower::carry_out(const list_collection&)
{
    count_request("list");
    platform_->list(config_prefix, [this](const result<platform_listing>& listing) {
        set_platform_reachable(bool(listing));
        carry_out(core_.on_listing(pool_.timers().now(), listing));
    });
}

void platform_follower::carry_out(const read_accepted&)
{
    count_request("read_accepted");
    platform_->get(accepted_object, [this](const result<platform_object>& current) {
        carry_out(core_.on_accepted(pool_.timers().now(), current));
    });
}

void platform_follower::carry_out(const read_part& action)
{
    count_request("read_part");
    platform_->get(parts_prefix + action.digest, [this, action](const result<platform_object>& current) {
        carry_out(core_.on_part_read(pool_.timers().now(), action, current));
    });
}

void platform_follower::carry_out(const write_part& action)
{
    count_request("write_part");
    platform_->put(parts_prefix + action.part->digest, nlohmann::json::parse(action.part->text), action.if_version,
                   [this, action](const result<std::uint64_t>& written) {
                       carry_out(core_.on_part_written(pool_.timers().now(), action, written));
                   });
}

void platform_follower::carry_out(const remove_part& action)
{
    count_request("remove_part");
    platform_->remove(parts_prefix + action.part.digest, action.part.version,
                      [this, action](const result<void>& removed) {
                          carry_out(core_.on_part_removed(pool_.timers().now(), action, removed));
                      });
}

void platform_follower::carry_out(const list_parts&)
{
    count_request("list_parts");
    platform_->list(parts_prefix, [this](const result<platform_listing>& parts) {
        carry_out(core_.on_parts_listed(pool_.timers().now(), parts));
    });
}

void platform_follower::carry_out(const write_accepted& action)
{
    count_request("write_accepted");
    const auto generation = action.value.generation;
    platform_->put(
        accepted_object, to_json(action.value), action.if_version,
        [this, generation](const result<std::uint64_t>& written) {
            if (written) {
                log(log_level::info, log_event::configuration_accepted, {{"generation", std::to_string(generation)}});
            }
            carry_out(core_.on_written(pool_.timers().now(), written));
        });
}

void platform_follower::carry_out(const apply_configuration& action)
{
    counters_.set("configuration_generation", static_cast<double>(action.value.generation));
    hooks_.on_configuration_applied(action.value);
}

void platform_follower::carry_out(const write_status& action)
{
    if (action.value.value("state", "") != "accepted") {
        const auto errors = action.value.value("errors", nlohmann::json::array());
        log(log_level::warning, log_event::configuration_rejected,
            {{"revision", action.value.value("collection_revision", nlohmann::json()).dump()},
             {"state", action.value.value("state", "")},
             {"errors", errors.dump()}});
    }
    count_request("read_status");
    platform_->get(status_object, [this, value = action.value](const result<platform_object>& current) {
        const bool missing = !current && current.error().kind == error_kind::not_found;
        if ((!current && !missing) || (current && current.value().value == value)) {
            return;
        }
        const auto revision = [](const nlohmann::json& it) {
            return it.value("collection_revision", std::uint64_t(0));
        };
        if (current && current.value().value.is_object() && revision(current.value().value) > revision(value)) {
            return;
        }
        count_request("write_status");
        platform_->put(status_object, value, missing ? 0 : current.value().version,
                       [](const result<std::uint64_t>&) {});
    });
}

void platform_follower::carry_out(const write_audit& action)
{
    write_audit_entry(action, max_audit_attempts);
}

void platform_follower::write_audit_entry(const write_audit& action, int attempts)
{
    count_request("write_audit");
    platform_->put(action.name, action.value, 0, [this, action, attempts](const result<std::uint64_t>& written) {
        // A conflict means that another agent has already written the entry.
        if (written || written.error().kind == error_kind::conflict) {
            return;
        }
        if (attempts <= 1) {
            counters_.add("audit_entries_lost_total");
            return;
        }
        pool_.timers().after(audit_retry_delay, [this, action, attempts] {
            sequence_->post([this, action, attempts] { write_audit_entry(action, attempts - 1); });
        });
    });
}

} // namespace anvillead
