#include "apps/scheduler/scheduler_daemon.h"

#include <algorithm>

#include "admission/scheduler_core.h"
#include "apps/common/control_traffic.h"
#include "apps/common/message_intake.h"
#include "apps/common/withdrawal.h"
#include "apps/scheduler/load_report.h"
#include "core/crypto.h"
#include "core/log.h"
#include "routing/rendezvous.h"

namespace anvillead {

namespace {

constexpr std::size_t max_load_report_bytes = 64 * 1024;
// Time for the announcement that this scheduler is leaving to reach other processes, and for delivery of its last
// messages.
constexpr milliseconds leave_propagation_time{1500};
constexpr milliseconds statistics_period{1000};

scheduler_options make_options(const scheduler_settings& settings)
{
    scheduler_options out;
    out.process = random_hex(6);
    // Schedulers need different seeds, so that they do not choose the same retry times for their callers.
    out.seed = std::stoull(random_hex(8), nullptr, 16);
    out.placement.affinity.enabled = settings.prefix_affinity;
    return out;
}

} // namespace

scheduler_daemon::scheduler_daemon(worker_pool& pool, scheduler_settings settings)
    : pool_(pool), settings_(std::move(settings)), sequence_(pool.make_sequence()),
      core_(std::make_unique<scheduler_core>(make_options(settings_))), client_(make_http_client(pool))
{
    const auto options = make_link_options(settings_.common, "scheduler", new_incarnation());
    link_handlers handlers;
    handlers.on_open = [this](const link_ptr& link) {
        sequence_->post([this, link] { gateways_.on_link_opened(link); });
    };
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) { on_message(link, payload); };
    handlers.on_closed = [this](const link_ptr& link) {
        sequence_->post([this, link] {
            if (gateways_.on_link_closed(link)) {
                const gateway_identity gateway(link->peer());
                progress_.forget(gateway);
                carry_out(core_->on_gateway_lost(pool_.timers().now(), gateway));
            }
        });
    };
    server_ = make_link_server(pool, settings_.listen, options, std::move(handlers), counters_);
    agent_ = std::make_unique<agent_link>(pool, settings_.agent, options, counters_, [this](const view_ptr& view) {
        sequence_->post([this, view] { apply_view(view); });
    });
    status_ = std::make_unique<status_server>(pool, settings_.http_listen, counters_,
                                              [this] { return agent_->current()->configuration->generation > 0; });
    agent_->report({"scheduler", false, 0, "", link_address()});
    log(log_level::info, log_event::process_started, {{"listen", server_->address()}, {"http", status_->address()}});
}

scheduler_daemon::~scheduler_daemon() = default;

void scheduler_daemon::run()
{
    pool_.on_stop_signal([this] { sequence_->post([this] { handle_stop_signal(); }); });
    pool_.timers().every(settings_.tick,
                         [this] { sequence_->post([this] { carry_out(core_->on_tick(pool_.timers().now())); }); });
    pool_.timers().every(settings_.load_period, [this] { sequence_->post([this] { poll_loads(); }); });
    pool_.timers().every(statistics_period, [this] { sequence_->post([this] { export_statistics(); }); });
    pool_.run();
    log(log_level::info, log_event::process_stopped, {});
}

std::string scheduler_daemon::link_address() const
{
    return reachable_address(settings_.advertise, server_->address());
}

void scheduler_daemon::update_gateway_count(const std::vector<member>& members)
{
    std::size_t count = 0;
    for (const auto& it : members) {
        const bool serves = it.state == member_state::alive && !it.addresses.gateway_http.empty();
        count += serves ? 1 : 0;
    }
    core_->on_gateway_count(count);
}

void scheduler_daemon::export_statistics()
{
    const auto statistics = core_->figures();
    for (std::size_t i = 0; i < statistics.waiting.size(); ++i) {
        counters_.set("queued_requests{class=\"" + std::string(work_class_names[i]) + "\"}",
                      static_cast<double>(statistics.waiting[i]));
    }
    counters_.set("grants", static_cast<double>(statistics.grants));
    counters_.set("grants_of_lost_gateways", static_cast<double>(statistics.orphaned));
    counters_.set("engines", static_cast<double>(statistics.engines));
    counters_.set("engines_usable", static_cast<double>(statistics.usable_engines));
    counters_.set("engines_short", static_cast<double>(statistics.short_engines));
    counters_.set("urgent_slots", static_cast<double>(statistics.urgent_slots));
}

void scheduler_daemon::apply_view(const view_ptr& view)
{
    update_gateway_count(view->members);
    std::map<upstream_id, std::string> owned_engines;
    for (const auto& it : view->configuration->merged.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& group : partition_into_cells(it)) {
            const auto ranked = rank_members(view->members, placement_key(group));
            // A member without a scheduler address has no scheduler, or its scheduler is leaving.
            const auto owner = std::find_if(ranked.begin(), ranked.end(), [](const member& value) {
                return !value.addresses.scheduler_link.empty();
            });
            if (owner == ranked.end() || owner->host != settings_.common.host) {
                continue;
            }
            for (const auto& id : group.engines) {
                owned_engines.emplace(id, view->configuration->merged.find_upstream(id)->address);
            }
        }
    }
    const auto now = pool_.timers().now();
    if (owned_engines != owned_engines_ || applied_generation_ != view->configuration->generation) {
        log(log_level::info, log_event::scheduler_takeover, {{"engines", std::to_string(owned_engines.size())}});
        std::vector<upstream_id> ids;
        ids.reserve(owned_engines.size());
        for (const auto& [id, address] : owned_engines) {
            ids.push_back(id);
        }
        owned_engines_ = std::move(owned_engines);
        applied_generation_ = view->configuration->generation;
        carry_out(core_->on_configuration(now, view->configuration->merged, ids));
        // An engine receives grants only after its first load report.
        poll_loads();
    }
    leaving_upstreams_ = {view->leaving_upstreams.begin(), view->leaving_upstreams.end()};
    carry_out(core_->on_leaving(now, view->leaving_upstreams));
}

void scheduler_daemon::on_message(const link_ptr& link, const std::string& payload)
{
    auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    // The gateway may already have a newer configuration, which this scheduler must have before it handles the message.
    const auto generation = decoded->generation;
    agent_->run_at_generation(generation, [this, link, value = std::move(*decoded)] {
        sequence_->post([this, link, value] { handle_message(link, value); });
    });
}

void scheduler_daemon::handle_message(const link_ptr& link, const envelope& value)
{
    const gateway_identity gateway(link->peer());
    const auto now = pool_.timers().now();
    if (const auto* request = std::get_if<grant_request>(&value.body)) {
        carry_out(core_->on_request(now, gateway, *request));
    } else if (const auto* cancel = std::get_if<grant_cancel>(&value.body)) {
        carry_out(core_->on_cancel(now, gateway, *cancel));
    } else if (const auto* report = std::get_if<progress_report>(&value.body)) {
        carry_out(core_->on_progress(now, gateway, progress_.expand(gateway, *report)));
    }
}

void scheduler_daemon::carry_out(scheduler_actions actions)
{
    for (auto& it : actions) {
        if (const auto* refused = std::get_if<send_refusal>(&it)) {
            counters_.add("refusals_total{kind=\"" + std::string(to_string(refused->value.kind)) + "\"}");
        } else {
            counters_.add("grants_total");
        }
        std::visit([this](auto& action) { send(action.gateway, std::move(action.value)); }, it);
    }
}

void scheduler_daemon::send(const gateway_identity& gateway, message value)
{
    if (const auto link = gateways_.find(gateway)) {
        send_counted(*link, {applied_generation_, std::move(value)}, counters_);
    }
}

void scheduler_daemon::poll_loads()
{
    for (const auto& [id, address] : owned_engines_) {
        poll_engine(id, address);
    }
}

void scheduler_daemon::poll_engine(const upstream_id& engine, const std::string& address)
{
    if (!pending_polls_.insert(engine).second) {
        return;
    }
    http_call_request request;
    request.address = address;
    request.target = "/load";
    request.head_timeout = milliseconds(1000);
    request.idle_timeout = milliseconds(1000);
    request.reuse_connection = true;
    client_->fetch(std::move(request), max_load_report_bytes, sequence_,
                   [this, engine](const http_call_result& end, const http_response& answer) {
                       pending_polls_.erase(engine);
                       const auto value = nlohmann::json::parse(answer.body, nullptr, false);
                       if (end.end != http_call_outcome::complete || answer.status != 200 || !value.is_object()) {
                           counters_.add("load_reports_missed_total");
                           return;
                       }
                       const auto load = parse_load_report(engine, value);
                       if (load.leaving || leaving_upstreams_.count(engine) != 0) {
                           agent_->send(upstream_report{engine, load.leaving});
                       }
                       carry_out(core_->on_load(pool_.timers().now(), load));
                   });
}

void scheduler_daemon::handle_stop_signal()
{
    if (std::exchange(stopping_, true)) {
        log(log_level::warning, log_event::shutdown_forced, {});
        pool_.stop();
        return;
    }
    log(log_level::info, log_event::shutdown_began, {});
    agent_->report({"scheduler", true, applied_generation_, "", link_address()});
    run_when_withdrawn(
        pool_, counters_, [this] { return may_receive_requests(); },
        [this] { pool_.timers().after(leave_propagation_time, [this] { pool_.stop(); }); });
}

bool scheduler_daemon::may_receive_requests() const
{
    const auto ranked = rank_members(agent_->current()->members, {});
    const auto serves = [](const member& it) { return !it.addresses.scheduler_link.empty(); };
    return std::count_if(ranked.begin(), ranked.end(), serves) > 1 &&
           std::any_of(ranked.begin(), ranked.end(),
                       [&](const member& it) { return serves(it) && it.host == settings_.common.host; });
}

} // namespace anvillead
