#include "apps/agent/membership_driver.h"

#include <random>

#include "apps/common/control_traffic.h"
#include "core/log.h"

namespace anvillead {

namespace {

membership_options make_options(const agent_settings& settings)
{
    membership_options out;
    out.fleet_keys = settings.common.fleet_keys;
    out.probe_period = settings.probe_period;
    out.suspicion = settings.suspicion;
    return out;
}

member with_udp_address(member self, const std::string& address)
{
    self.addresses.agent_udp = address;
    return self;
}

log_event event_for(member_state state)
{
    switch (state) {
    case member_state::suspect:
        return log_event::member_suspected;
    case member_state::leaving:
        return log_event::member_leaving;
    case member_state::dead:
        return log_event::member_lost;
    default:
        return log_event::member_joined;
    }
}

} // namespace

membership_driver::membership_driver(worker_pool& pool, std::shared_ptr<isequence> sequence,
                                     const agent_settings& settings, member self, metrics& counters,
                                     std::function<void(const pull_state&)> on_pull, std::function<void()> on_change)
    : pool_(pool), sequence_(std::move(sequence)), counters_(counters), on_pull_(std::move(on_pull)),
      on_change_(std::move(on_change)),
      socket_(make_udp_socket(
          pool, settings.probe_listen, sequence_,
          [this](const std::string& from, const std::string& payload) {
              counters_.add("control_received_bytes_total{kind=\"datagram\"}", static_cast<double>(payload.size()));
              counters_.add("control_received_messages_total{kind=\"datagram\"}");
              apply([&](membership& it, instant now) { return it.on_datagram(now, from, payload); });
          })),
      core_(make_options(settings),
            with_udp_address(std::move(self), reachable_address(settings.probe_advertise, socket_->address())),
            std::random_device()())
{}

void membership_driver::tick()
{
    apply([](membership& it, instant now) { return it.on_tick(now); });
}

void membership_driver::apply(const std::function<membership_actions(membership&, instant)>& change)
{
    carry_out(change(core_, pool_.timers().now()));
}

void membership_driver::carry_out(const membership_actions& actions)
{
    bool changed = false;
    for (const auto& it : actions) {
        std::visit([this](const auto& action) { carry_out(action); }, it);
        changed = changed || std::holds_alternative<member_changed>(it) ||
                  std::holds_alternative<upstream_status_changed>(it);
    }
    if (changed) {
        counters_.set("members_live", static_cast<double>(core_.live_count()));
        on_change_();
    }
}

void membership_driver::carry_out(const send_datagram& action)
{
    count_sent(action.kind, action.payload.size(), counters_);
    socket_->send(action.address, action.payload);
}

void membership_driver::carry_out(const member_changed& action)
{
    const auto state = effective_state(action.value);
    const auto level =
        state == member_state::suspect || state == member_state::dead ? log_level::warning : log_level::info;
    log(level, event_for(state),
        {{"host", action.value.host.str()}, {"incarnation", std::to_string(action.value.number)}});
}

void membership_driver::carry_out(const upstream_status_changed& action)
{
    log(log_level::info, action.value.leaving ? log_event::upstream_leaving : log_event::upstream_returned,
        {{"upstream", action.value.id.str()}, {"version", std::to_string(action.value.version)}});
}

} // namespace anvillead
