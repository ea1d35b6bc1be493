#include "node/node_daemon.h"

#include <algorithm>
#include <ctime>

#include "core/log.h"
#include "dispatch/responsibility.h"
#include "node/client_limits.h"
#include "node/crash_detector.h"
#include "node/path_prober.h"
#include "node/placement_service.h"
#include "node/quarantine_service.h"
#include "node/rate_service.h"
#include "platform/configuration_reader.h"
#include "platform/object_client.h"
#include "platform/upstream_reader.h"

namespace anvillead {

namespace {

// Collection of the store in which the hosts register themselves.
constexpr const char* host_collection = "anvillead-hosts";
// Some callers cache an answer for up to this many times its time to live.
constexpr int endpoint_overrun_factor = 3;
// Changes of the directory that a host of a large fleet fetches at once. Engines leave with notice of more than a
// second and are announced without the directory.
constexpr milliseconds pull_interval{250};
// The relays of the reports, from which the others fetch.
constexpr milliseconds relay_pull_interval{50};
// Interval at which a host of a large fleet checks whether it should follow the platform.
constexpr milliseconds following_check_period{250};
// Hosts that follow the platform for a large fleet: a second one, in another zone, in case the platform rejects the
// first or is slow for it.
constexpr std::size_t followers_of_large_fleet = 2;
// A host that has just started waits this long for other hosts before it follows the platform, unless they all know it
// as a seed.
constexpr milliseconds discovery_time{1000};
// Time after its start in which a host has heard from all others.
constexpr milliseconds fleet_discovery_time{3000};
constexpr milliseconds housekeeping_period{50};
// A host that lacks a newer configuration of another host for this long reads it from the platform.
constexpr milliseconds configuration_tolerance{700};
constexpr milliseconds shutdown_check_period{20};
// The settings file may change without a reload signal.
constexpr milliseconds settings_check_period{5000};
// Open requests are aborted this long before the grace period ends, so that their last bytes can still be sent.
constexpr milliseconds shutdown_margin{500};
// Time in which the last answers are passed to the sockets.
constexpr milliseconds flush_time{100};
// Checks in a row without a request, after which the process ends. What arrives before one is read before the next.
constexpr int quiet_checks = 2;
// After a suspension of this length the state of the process is treated as stale; shorter ones are ordinary
// scheduling delays.
constexpr milliseconds min_suspension{500};

// Size of the receive buffer of a connection to an upstream, which fills while the caller does not read.
constexpr std::size_t upstream_receive_bytes = 8 * 1024;
// Size of that of a connection to the store or to another host, which fills while this host is busy with other work.
constexpr std::size_t store_receive_bytes = 256 * 1024;

std::chrono::nanoseconds read_clock(clockid_t clock)
{
    timespec value = {};
    clock_gettime(clock, &value);
    return seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

/// Time for which the host has been suspended since boot: only CLOCK_BOOTTIME advances during suspension.
std::chrono::nanoseconds suspended_time()
{
    return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

} // namespace

node_daemon::node_daemon(worker_pool& pool, node_settings settings,
                         std::function<result<node_settings>()> read_settings)
    : pool_(pool), settings_(std::move(settings)), read_settings_(std::move(read_settings)),
      sequence_(pool.make_sequence()),
      client_(make_http_client(pool, {{}, store_receive_bytes, idle_connection_limit(settings_) / 2})),
      upstream_client_(make_http_client(pool, {[this] { return settings_.upstream_source; }, upstream_receive_bytes,
                                               idle_connection_limit(settings_) / 2})),
      context_{settings_,
               pool,
               pool.timers(),
               counters_,
               *upstream_client_,
               *client_,
               upstream_directory(),
               load_table(),
               engine_speeds(),
               upstream_paths(),
               peer_table(settings_.host, settings_.report),
               nullptr,
               {},
               false,
               instant::max(),
               std::make_shared<std::size_t>(0),
               std::make_shared<std::size_t>(0),
               std::make_shared<byte_budget>(max_answer_buffer_bytes),
               nullptr,
               nullptr,
               nullptr,
               nullptr,
               {},
               {},
               [] {}},
      callers_(context_),
      configuration_(platform::make_object_collection(*client_, settings_.store, platform::configuration_collection,
                                                      sequence_, platform::select_configuration)),
      upstreams_(platform::make_object_collection(*client_, settings_.store, platform::upstream_collection, sequence_,
                                                  platform::select_upstream)),
      hosts_(platform::make_object_collection(*client_, settings_.store, host_collection, sequence_,
                                              registration::select_entry)),
      evacuations_(settings_.evacuations
                       ? platform::make_object_collection(*client_, settings_.store, platform::evacuation_collection,
                                                          sequence_, platform::no_value)
                       : nullptr),
      feed_(context_, {*configuration_, *upstreams_, evacuations_.get()}, [this] { announce_configuration(); })
{
    reporter_ = std::make_shared<fleet_reporter>(context_, sequence_, [this](host_report& report) {
        report.ready = ready();
        report.without_path = context_.paths.any_lost();
        report.configuration = feed_.configuration_version();
        report.directory_revision = feed_.state().upstream_revision;
        report.evacuation_revision = feed_.state().evacuations.revision;
        report.platform_reachable = feed_.connected();
        report.leaving_upstreams.assign(poller_->leaving().begin(), poller_->leaving().end());
    });
    context_.placements =
        std::make_shared<placement_service>(context_, [this](const std::string& address, std::string datagram) {
            reporter_->send_to(address, std::move(datagram));
        });
    feed_.on_new_era([this] { registration_->on_entry_lost(); });
    context_.crashes = std::make_shared<crash_detector>(context_, sequence_);
    context_.quarantine = std::make_shared<quarantine_service>(
        context_, reporter_->exchange(),
        [this](const std::string& address, std::string datagram) { reporter_->send_to(address, std::move(datagram)); });
    context_.crashes->on_crash([this](crash_record value) { context_.quarantine->add_crash(std::move(value)); });
    context_.quarantine->on_quarantined([this] { callers_.on_requests_quarantined(); });
    context_.rates = std::make_shared<rate_service>(
        context_, reporter_->exchange(),
        [this](const std::string& address, std::string datagram) { reporter_->send_to(address, std::move(datagram)); });
    context_.placements->set_rates({[this] { return context_.rates->limits().closed(context_.timers.now()); },
                                    [this](const upstream_id& it) { return context_.rates->take(it); }});
    reporter_->on_other_datagram([this](const std::string& datagram) {
        return context_.placements->receive(datagram) || context_.quarantine->receive(datagram) ||
               context_.rates->receive(datagram);
    });
    registration_ = std::make_shared<registration>(
        context_, *hosts_, [this] { return !large_fleet() || reporter_->exchange().is_relay(); });
    state_puller::hooks hooks;
    hooks.known_state = [this] {
        return state_request{feed_.configuration_version(), feed_.state().upstream_revision,
                             feed_.state().evacuations.revision};
    };
    hooks.on_update = [this](const state_update& value) { feed_.apply_update(value); };
    hooks.platform_connected = [this] { return feed_.connected() && feed_.configuration_connected(); };
    hooks.pull_interval = [this] {
        const bool relay = reporter_->exchange().is_relay();
        return !large_fleet() ? milliseconds(0) : relay ? relay_pull_interval : pull_interval;
    };
    puller_ = std::make_shared<state_puller>(context_, sequence_, std::move(hooks));
    poller_ = std::make_shared<engine_poller>(context_, sequence_);
    prober_ = std::make_shared<path_prober>(context_, sequence_);
    poller_->set_pollers([this] {
        if (large_fleet()) {
            return reporter_->exchange().relays();
        }
        std::vector<host_id> out = {settings_.host};
        for (const auto* it : context_.peers.live()) {
            out.push_back(it->host);
        }
        return out;
    });
    connect_hooks();
    reporter_->set_exchange_hooks({{},
                                   [this] { return context_.directory.recently_leaving(context_.timers.now()); },
                                   [this](const fleet_summary& value) { apply_summary(value); },
                                   [this] { context_.placements->learn(); }});
    context_.placements->set_candidates([this] { return reporter_->exchange().relays(); });
}

node_daemon::~node_daemon() = default;

void node_daemon::connect_hooks()
{
    context_.on_work_changed = [this] { reporter_->schedule_report(); };
    const auto on_path_changed = [this](log_level level, log_event event, const service_name& service) {
        log(level, event, {{"service", service.str()}});
        context_.counters.set("path_lost", context_.paths.any_lost() ? 1 : 0);
        reporter_->schedule_report();
    };
    context_.paths.set_hooks(
        {[on_path_changed](const service_name& it) { on_path_changed(log_level::warning, log_event::path_lost, it); },
         [on_path_changed](const service_name& it) {
             on_path_changed(log_level::info, log_event::path_restored, it);
         }});
    context_.directory.set_hooks({[this](const upstream_id& id) {
                                      log(log_level::info, log_event::upstream_leaving, {{"upstream", id.str()}});
                                      callers_.on_upstream_leaving(id);
                                      reporter_->schedule_summary();
                                  },
                                  [this](const upstream_id& id) {
                                      log(log_level::info, log_event::upstream_restarted, {{"upstream", id.str()}});
                                      context_.loads.forget(id);
                                      context_.speeds.forget(id);
                                      callers_.on_upstream_restarted(id);
                                  }});
    context_.peers.set_hooks({[this](const host_report& value) {
                                  context_.quarantine->on_host_joined(value);
                                  log(log_level::info, log_event::member_joined,
                                      {{"host", value.host.str()}, {"zone", value.availability_zone.str()}});
                              },
                              [this](const host_report& value) {
                                  if (!reporter_->exchange().receives_sums()) {
                                      context_.loads.set_peer_work(context_.timers.now(), value.host, value.work);
                                  }
                                  puller_->on_report(value);
                                  apply_leaving_marks(value.leaving_upstreams);
                              },
                              [this](const host_id& host) {
                                  log(log_level::warning, log_event::member_lost, {{"host", host.str()}});
                                  context_.loads.remove_peer(host);
                              }});
}

void node_daemon::run()
{
    started_ = context_.timers.now();
    start_servers();
    last_suspended_ = suspended_time();
    pool_.on_stop_signal([this] { begin_shutdown(); });
    pool_.on_reload_signal([this] { reload_settings(); });
    context_.timers.every(settings_check_period, [this] { reload_settings(); });
    sequence_->post([this] {
        try {
            reporter_->start();
        } catch (const std::system_error&) {
            start_failure_ = std::current_exception();
            pool_.stop();
            return;
        }
        context_.placements->learn();
        context_.quarantine->start();
        context_.rates->start();
        feed_.start();
        registration_->start();
    });
    context_.timers.every(housekeeping_period, [this] {
        detect_suspension();
        context_.directory.expire(context_.timers.now());
        feed_.expire();
        context_.loads.expire(context_.timers.now());
        if (context_.loads.states_pace()) {
            context_.speeds.update(context_.timers.now(), context_.directory, context_.loads);
            context_.placements->set_speeds(context_.known_speeds());
        }
        prober_->probe_if_due();
        puller_->pull_if_behind();
        if (puller_->misses_configuration(configuration_tolerance)) {
            feed_.fetch_configuration();
        }
        update_following();
        // Upstream leases can lapse while no host reaches the store, but not while the store rejects only single hosts.
        const bool watched = directory_watched();
        if (watched) {
            context_.directory.on_platform_regained(context_.timers.now());
        } else {
            context_.directory.on_platform_lost();
        }
        // A host that has just started does not know yet whether others watch the directory.
        poller_->poll_if_due(watched || context_.timers.now() - started_ < fleet_discovery_time);
        report_readiness();
    });
    log(log_level::info, log_event::process_started,
        {{"frontend", settings_.frontend}, {"zone", settings_.availability_zone.str()}});
    pool_.run();
    if (start_failure_) {
        std::rethrow_exception(start_failure_);
    }
    log(log_level::info, log_event::process_stopped, {});
}

bool node_daemon::ready() const
{
    return feed_.complete() && !context_.leaving;
}

void node_daemon::report_readiness()
{
    const bool now_ready = ready();
    if (std::exchange(reported_ready_, now_ready) == now_ready) {
        return;
    }
    log(log_level::info, log_event::readiness_changed,
        {{"ready", now_ready ? "yes" : "no"}, {"reason", context_.leaving ? "leaving" : "platform state loaded"}});
    reporter_->schedule_report();
}

void node_daemon::announce_configuration()
{
    report_readiness();
    // The hosts that get it from this one hear of it at once instead of with the next period.
    reporter_->schedule_report();
    reporter_->schedule_summary();
}

void node_daemon::detect_suspension()
{
    const auto suspended = suspended_time();
    const auto pause = std::chrono::duration_cast<milliseconds>(suspended - last_suspended_);
    last_suspended_ = suspended;
    if (pause < min_suspension) {
        return;
    }
    log(log_level::warning, log_event::process_resumed, {{"suspended_ms", std::to_string(pause.count())}});
    context_.placements->learn();
    feed_.refresh();
}

bool node_daemon::directory_watched() const
{
    const auto& live = context_.peers.live();
    return feed_.connected() ||
           std::any_of(live.begin(), live.end(), [](const host_report* it) { return it->platform_reachable; });
}

bool node_daemon::large_fleet() const
{
    return reporter_->exchange().uses_relays();
}

void node_daemon::update_following()
{
    const auto now = context_.timers.now();
    if (!feed_.complete()) {
        feed_.set_following(true);
        return;
    }
    const bool is_seed =
        std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.report) != settings_.seeds.end();
    if (!is_seed && now - started_ < discovery_time) {
        feed_.set_following(false);
        return;
    }
    if (large_fleet() && now - following_checked_ < following_check_period) {
        return;
    }
    following_checked_ = now;
    feed_.set_following(should_follow_platform());
}

bool node_daemon::should_follow_platform()
{
    const bool large = large_fleet();
    const auto& relays = reporter_->exchange().relays();
    const auto is_eligible = [&](const host_id& it) {
        return !large || std::find(relays.begin(), relays.end(), it) != relays.end();
    };
    if (puller_->failed_recently()) {
        return true;
    }
    const auto now = context_.timers.now();
    unreachable_since_ = directory_watched() ? instant{} : unreachable_since_ == instant{} ? now : unreachable_since_;
    if (!is_eligible(settings_.host)) {
        if (feed_.connected()) {
            const auto& live = context_.peers.live();
            return std::none_of(live.begin(), live.end(),
                                [&](const host_report* it) { return it->platform_reachable && is_eligible(it->host); });
        }
        return unreachable_since_ != instant{} &&
               stands_in_as_follower(settings_.host, context_.peers.live_count() + 1,
                                     std::chrono::duration_cast<milliseconds>(now - unreachable_since_));
    }
    std::vector<follower_candidate> candidates = {
        {settings_.host, settings_.availability_zone, feed_.connected(), settings_.link_mbps, true}};
    for (const auto* it : context_.peers.live()) {
        candidates.push_back(
            {it->host, it->availability_zone, it->platform_reachable, it->link_mbps, is_eligible(it->host)});
    }
    return follows_platform(candidates, settings_.host, feed_.following(),
                            large ? followers_of_large_fleet : candidates.size());
}

void node_daemon::apply_leaving_marks(const std::vector<upstream_id>& upstreams)
{
    if (upstreams.empty() || directory_watched()) {
        return;
    }
    for (const auto& it : upstreams) {
        context_.directory.mark_leaving(context_.timers.now(), it);
    }
}

void node_daemon::apply_summary(const fleet_summary& value)
{
    const auto now = context_.timers.now();
    context_.loads.set_fleet_work(now, value.work);
    // Marks that are older than the own directory may concern upstreams that have returned since.
    const bool news = value.directory_revision > feed_.state().upstream_revision || !value.platform_reachable;
    if (news) {
        for (const auto& it : value.leaving_upstreams) {
            context_.directory.mark_leaving(now, it);
        }
    }
    puller_->pull_if_behind();
}

void node_daemon::reload_settings()
{
    auto next = read_settings_();
    if (!next) {
        log(log_level::error, log_event::settings_rejected, {{"problem", next.error().message}});
        return;
    }
    if (next.value() == settings_) {
        return;
    }
    const bool needs_restart = !same_addresses(next.value(), settings_);
    log(log_level::info, log_event::settings_reloaded, {{"needs_restart", needs_restart ? "addresses" : "nothing"}});
    for (const auto& it : next.value().seeds) {
        context_.peers.add_contact(context_.timers.now(), it);
    }
    // Changes of addresses take effect only at the next start of the process.
    settings_.seeds = next.value().seeds;
    settings_.upstream_source = next.value().upstream_source;
    settings_.shutdown_grace = next.value().shutdown_grace;
    settings_.retry_share = next.value().retry_share;
    settings_.retry_slack = next.value().retry_slack;
    settings_.max_endpoint_age = next.value().max_endpoint_age;
    context_.retry_budgets.clear();
}

void node_daemon::begin_shutdown()
{
    if (context_.leaving) {
        return;
    }
    context_.leaving = true;
    leaving_since_ = context_.timers.now();
    context_.exit_at = leaving_since_ + settings_.shutdown_grace - shutdown_margin;
    log(log_level::info, log_event::shutdown_began,
        {{"generations", std::to_string(callers_.open_generations())},
         {"requests", std::to_string(frontend_->open_exchanges())}});
    frontend_->drain();
    callers_.on_shutdown();
    report_readiness();
    context_.timers.every(shutdown_check_period, [this] { check_shutdown(); });
}

void node_daemon::check_shutdown()
{
    const auto now = context_.timers.now();
    const bool endpoint_answers_expired = now - leaving_since_ >= endpoint_time_to_live * endpoint_overrun_factor;
    const auto arrivals = frontend_->arrivals();
    const bool quiet = frontend_->busy_connections() == 0 && arrivals == std::exchange(last_arrivals_, arrivals) &&
                       !client_budget_->awaits_readers();
    quiet_checks_ = quiet ? quiet_checks_ + 1 : 0;
    if (endpoint_answers_expired && quiet_checks_ >= quiet_checks) {
        pool_.stop();
        return;
    }
    if (now < context_.exit_at) {
        return;
    }
    if (!std::exchange(shutdown_forced_, true)) {
        log(log_level::warning, log_event::shutdown_forced,
            {{"generations", std::to_string(callers_.open_generations())},
             {"requests", std::to_string(frontend_->open_exchanges())},
             {"connections", std::to_string(frontend_->busy_connections())}});
        callers_.abort_all("the host is shutting down");
        return;
    }
    if (frontend_->open_exchanges() == 0 || now >= context_.exit_at + flush_time) {
        pool_.stop();
    }
}

} // namespace anvillead
