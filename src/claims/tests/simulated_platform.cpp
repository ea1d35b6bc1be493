#include "claims/tests/simulated_platform.h"

namespace anvillead {

namespace {

// Wall clock at the start of every simulation.
constexpr wall_time wall_start{seconds(1720818106)};
// Length of the period that starts with an outage.
constexpr int outage_period_ms = 1000;

error unavailable(run_outcome outcome)
{
    auto out = make_error(error_kind::platform_unavailable, "simulated");
    out.outcome = outcome;
    return out;
}

} // namespace

void simulated_platform::run(instant until)
{
    while (!events_.empty() && events_.begin()->first <= until) {
        now = events_.begin()->first;
        const auto task = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        task();
    }
    now = until;
}

bool simulated_platform::in_outage()
{
    // Each simulated second starts with an outage.
    const auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() % outage_period_ms;
    return static_cast<double>(ms) < faults_.outage * outage_period_ms;
}

void simulated_platform::read(const std::string& name, std::function<void(result<platform_object>)> callback)
{
    ++reads;
    if (in_outage() || chance(faults_.refused)) {
        after(between(1, 20), [callback] { callback(unavailable(run_outcome::not_run)); });
        return;
    }
    after(between(1, 3), [this, name, callback] {
        const auto it = objects.find(name);
        const result<platform_object> answer =
            it == objects.end() ? result<platform_object>(make_error(error_kind::not_found, "")) : it->second;
        after(between(1, 3), [callback, answer] { callback(answer); });
    });
}

result<std::uint64_t> simulated_platform::apply(const write_claim_object& call)
{
    const auto it = objects.find(call.object);
    if ((it == objects.end() ? 0 : it->second.version) != call.if_version) {
        ++conflicts;
        return make_error(error_kind::conflict, "");
    }
    objects[call.object] = {call.object, ++revision_, call.value};
    return revision_;
}

void simulated_platform::write(const write_claim_object& call, std::function<void(result<std::uint64_t>)> callback)
{
    ++writes;
    if (in_outage() || chance(faults_.refused)) {
        after(between(1, 20), [callback] { callback(unavailable(run_outcome::not_run)); });
    } else if (chance(faults_.lost_request)) {
        after(between(1, 100), [callback] { callback(unavailable(run_outcome::may_have_run)); });
    } else if (chance(faults_.lost_answer)) {
        after(between(1, 400), [this, call] { static_cast<void>(apply(call)); });
        after(between(1, 100), [callback] { callback(unavailable(run_outcome::may_have_run)); });
    } else {
        after(between(1, 3), [this, call, callback] {
            const auto answer = apply(call);
            after(between(1, 3), [callback, answer] { callback(answer); });
        });
    }
}

simulated_gateway::simulated_gateway(simulated_platform& platform, claim_limits limits, milliseconds clock_error)
    : journal(limits, [&platform] { return std::to_string(platform.random()); }), platform_(platform),
      clock_error_(clock_error)
{}

void simulated_gateway::deliver(std::function<claim_actions(claim_time)> input)
{
    inputs_.push_back(std::move(input));
    if (inputs_.size() == 1) {
        process_inputs();
    }
}

void simulated_gateway::process_inputs()
{
    while (!inputs_.empty()) {
        if (platform_.now < paused_until_) {
            platform_.at(paused_until_, [this] { process_inputs(); });
            return;
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(platform_.now.time_since_epoch());
        execute_actions(inputs_.front()({platform_.now, wall_start + elapsed + clock_error_}));
        inputs_.pop_front();
    }
}

void simulated_gateway::execute_actions(const claim_actions& actions)
{
    for (const auto& it : actions) {
        if (const auto* reading = std::get_if<read_claim_object>(&it)) {
            platform_.read(reading->object, [this, name = reading->object](const result<platform_object>& answer) {
                deliver([this, name, answer](claim_time time) { return journal.on_read(time, name, answer); });
            });
        } else if (const auto* writing = std::get_if<write_claim_object>(&it)) {
            platform_.write(*writing, [this, name = writing->object](const result<std::uint64_t>& answer) {
                deliver([this, name, answer](claim_time time) { return journal.on_written(time, name, answer); });
            });
        } else if (const auto* claimed = std::get_if<answer_claim>(&it)) {
            on_claim(*claimed);
        } else if (const auto* withdrawn = std::get_if<answer_withdrawal>(&it)) {
            on_withdrawal(*withdrawn);
        } else if (const auto* wake = std::get_if<schedule_claim_timer>(&it)) {
            if (timer_at_ <= platform_.now || wake->at < timer_at_) {
                timer_at_ = wake->at;
                platform_.at(std::max(wake->at, platform_.now),
                             [this] { deliver([this](claim_time time) { return journal.on_timer(time); }); });
            }
        }
    }
}

} // namespace anvillead
