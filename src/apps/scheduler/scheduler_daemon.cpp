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

constexpr std::size_t load_report_bytes = 64 * 1024;
// Time for other processes to hear that this scheduler leaves and for its last messages to be delivered.
constexpr milliseconds leave_time{1500};
constexpr milliseconds figures_period{1000};

scheduler_options make_options(const scheduler_settings& settings)
{
    scheduler_options out;
    out.process = random_hex(6);
    // Schedulers must not spread their callers over the same retry times.
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
    handlers.on_open = [this](const link_ptr& link) { sequence_->post([this, link] { gateways_.opened(link); }); };
    handlers.on_message = [this](const link_ptr& link, const std::string& payload) { received(link, payload); };
    handlers.on_closed = [this](const link_ptr& link) {
        sequence_->post([this, link] {
            if (gateways_.closed(link)) {
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
    pool_.on_stop_signal([this] { sequence_->post([this] { stop_requested(); }); });
    pool_.timers().every(settings_.tick,
                         [this] { sequence_->post([this] { carry_out(core_->on_tick(pool_.timers().now())); }); });
    pool_.timers().every(settings_.load_period, [this] { sequence_->post([this] { poll_loads(); }); });
    pool_.timers().every(figures_period, [this] { sequence_->post([this] { export_figures(); }); });
    pool_.run();
    log(log_level::info, log_event::process_stopped, {});
}

std::string scheduler_daemon::link_address() const
{
    return reachable_address(settings_.advertise, server_->address());
}

void scheduler_daemon::count_gateways(const std::vector<member>& members)
{
    std::size_t count = 0;
    for (const auto& it : members) {
        const bool serves = it.state == member_state::alive && !it.addresses.gateway_http.empty();
        count += serves ? 1 : 0;
    }
    core_->on_gateway_count(count);
}

void scheduler_daemon::export_figures()
{
    const auto figures = core_->figures();
    for (std::size_t i = 0; i < figures.waiting.size(); ++i) {
        counters_.set("queued_requests{class=\"" + std::string(work_class_names[i]) + "\"}",
                      static_cast<double>(figures.waiting[i]));
    }
    counters_.set("grants", static_cast<double>(figures.grants));
    counters_.set("grants_of_lost_gateways", static_cast<double>(figures.orphaned));
    counters_.set("engines", static_cast<double>(figures.engines));
    counters_.set("engines_usable", static_cast<double>(figures.usable_engines));
    counters_.set("engines_short", static_cast<double>(figures.short_engines));
    counters_.set("urgent_slots", static_cast<double>(figures.urgent_slots));
}

void scheduler_daemon::apply_view(const view_ptr& view)
{
    count_gateways(view->members);
    std::map<upstream_id, std::string> owned;
    for (const auto& it : view->configuration->merged.services) {
        if (it.kind != service_kind::engine) {
            continue;
        }
        for (const auto& group : cells_of(it)) {
            const auto ranked = rank_members(view->members, placement_key(group));
            // A member without a scheduler address has none running, or one that is leaving.
            const auto first = std::find_if(ranked.begin(), ranked.end(), [](const member& value) {
                return !value.addresses.scheduler_link.empty();
            });
            if (first == ranked.end() || first->host != settings_.common.host) {
                continue;
            }
            for (const auto& id : group.engines) {
                owned.emplace(id, view->configuration->merged.find_upstream(id)->address);
            }
        }
    }
    const auto now = pool_.timers().now();
    if (owned != owned_ || applied_ != view->configuration->generation) {
        log(log_level::info, log_event::scheduler_takeover, {{"engines", std::to_string(owned.size())}});
        std::vector<upstream_id> ids;
        ids.reserve(owned.size());
        for (const auto& [id, address] : owned) {
            ids.push_back(id);
        }
        owned_ = std::move(owned);
        applied_ = view->configuration->generation;
        carry_out(core_->on_configuration(now, view->configuration->merged, ids));
        // No engine gets a grant before its first load report.
        poll_loads();
    }
    leaving_ = {view->leaving_upstreams.begin(), view->leaving_upstreams.end()};
    carry_out(core_->on_leaving(now, view->leaving_upstreams));
}

void scheduler_daemon::received(const link_ptr& link, const std::string& payload)
{
    auto decoded = decode_or_reject(link, payload, counters_);
    if (!decoded) {
        return;
    }
    // A gateway may already have a newer configuration; this process gets it before it decides.
    const auto generation = decoded->generation;
    agent_->when_current(generation, [this, link, value = std::move(*decoded)] {
        sequence_->post([this, link, value] { handle(link, value); });
    });
}

void scheduler_daemon::handle(const link_ptr& link, const envelope& value)
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
        send_counted(*link, {applied_, std::move(value)}, counters_);
    }
}

void scheduler_daemon::poll_loads()
{
    for (const auto& [id, address] : owned_) {
        poll_engine(id, address);
    }
}

void scheduler_daemon::poll_engine(const upstream_id& engine, const std::string& address)
{
    if (!polled_.insert(engine).second) {
        return;
    }
    http_call_request request;
    request.address = address;
    request.target = "/load";
    request.head_timeout = milliseconds(1000);
    request.idle_timeout = milliseconds(1000);
    request.reuse_connection = true;
    client_->fetch(std::move(request), load_report_bytes, sequence_,
                   [this, engine](const http_call_end& end, const http_answer& answer) {
                       polled_.erase(engine);
                       const auto value = nlohmann::json::parse(answer.body, nullptr, false);
                       if (end.end != http_end::complete || answer.status != 200 || !value.is_object()) {
                           counters_.add("load_reports_missed_total");
                           return;
                       }
                       const auto load = read_load(engine, value);
                       if (load.leaving || leaving_.count(engine) != 0) {
                           agent_->send(upstream_report{engine, load.leaving});
                       }
                       carry_out(core_->on_load(pool_.timers().now(), load));
                   });
}

void scheduler_daemon::stop_requested()
{
    if (std::exchange(stopping_, true)) {
        log(log_level::warning, log_event::shutdown_forced, {});
        pool_.stop();
        return;
    }
    log(log_level::info, log_event::shutdown_began, {});
    agent_->report({"scheduler", true, applied_, "", link_address()});
    when_withdrawn(
        pool_, counters_, [this] { return others_ask_this(); },
        [this] { pool_.timers().after(leave_time, [this] { pool_.stop(); }); });
}

bool scheduler_daemon::others_ask_this() const
{
    const auto ranked = rank_members(agent_->current()->members, {});
    const auto serves = [](const member& it) { return !it.addresses.scheduler_link.empty(); };
    return std::count_if(ranked.begin(), ranked.end(), serves) > 1 &&
           std::any_of(ranked.begin(), ranked.end(),
                       [&](const member& it) { return serves(it) && it.host == settings_.common.host; });
}

} // namespace anvillead
