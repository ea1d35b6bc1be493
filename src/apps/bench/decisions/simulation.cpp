#include "apps/bench/decisions/simulation.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "admission/progress_period.h"

namespace anvillead::bench {

namespace {

constexpr std::size_t gateway_count = 7;
constexpr double progress_period_ms = 100;
constexpr double load_period_ms = 200;
constexpr double tick_period_ms = 20;

std::size_t index_of(const std::string& id)
{
    std::size_t out = 0;
    std::from_chars(id.data(), id.data() + id.size(), out);
    return out;
}

} // namespace

simulation::simulation(const scenario& value, ischeduler_core& policy)
    : scenario_(value), policy_(policy), random_(value.seed * 7919), cache_random_(value.seed * 104'729),
      requests_(value.arrivals.size()), open_requests_(gateway_count), next_full_report_(gateway_count)
{
    for (int i = 0; i < value.site.engines; ++i) {
        engines_.emplace_back(standin::engine_model_settings{});
    }
    statistics_.organisations.resize(value.site.weights.size());
    for (std::size_t i = 0; i < statistics_.organisations.size(); ++i) {
        statistics_.organisations[i].weight = value.site.weights[i];
        statistics_.organisations[i].within_share = value.within_share[i];
    }
    statistics_.seconds = (value.end_ms - value.warmup_ms) / 1000;
}

void simulation::schedule(double ms, std::function<void()> action)
{
    events_.push({ms, ++order_, std::move(action)});
}

instant simulation::now() const
{
    // The clock does not start at the epoch, because the epoch means "never" to the policies.
    return instant(seconds(1000)) + microseconds(static_cast<std::int64_t>(clock_ * 1000));
}

gateway_identity simulation::gateway_of(std::size_t index) const
{
    return gateway_identity(fmt::format("g{}", index % gateway_count));
}

run_statistics simulation::run()
{
    const auto configuration = make_document(scenario_.site);
    std::vector<upstream_id> owned;
    for (const auto& it : configuration.services.front().upstreams) {
        owned.push_back(it.id);
    }
    policy_.on_configuration(now(), configuration, owned);
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        schedule(scenario_.arrivals[i].at_ms, [this, i] { on_arrival(i); });
    }
    for (const auto& it : scenario_.faults) {
        schedule(it.at_ms, [this, it] { apply_fault(it); });
    }
    for (std::size_t i = 0; i < gateway_count; ++i) {
        schedule(progress_period_ms * static_cast<double>(i) / gateway_count, [this, i] { report_progress(i); });
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        schedule(load_period_ms * static_cast<double>(i) / static_cast<double>(engines_.size()),
                 [this, i] { report_load(i); });
    }
    schedule(0, [this] { tick(); });
    while (!events_.empty() && events_.top().at <= scenario_.end_ms) {
        const auto action = events_.top().action;
        clock_ = events_.top().at;
        events_.pop();
        action();
    }
    clock_ = scenario_.end_ms;
    collect_statistics();
    return std::move(statistics_);
}

void simulation::on_arrival(std::size_t index)
{
    requests_[index].last_delivery_ms = clock_;
    schedule(clock_ + scenario_.site.client_ms + scenario_.site.zone_ms, [this, index] { send_request(index); });
}

void simulation::send_request(std::size_t index)
{
    const auto& from = scenario_.arrivals[index];
    grant_request value;
    value.id = request_id(std::to_string(index));
    value.organisation = organisation_id(fmt::format("o{}", from.organisation));
    value.workload = workload_name(from.workload);
    value.service = service_name("engines");
    value.model = model_name("model");
    value.urgency = from.urgency;
    value.input = {from.input};
    value.output_limit = {from.output_limit};
    value.prefix_hash = from.prefix;
    value.remaining = from.deadline;
    value.excluded = requests_[index].excluded;
    execute_actions(policy_.on_request(now(), gateway_of(index), value));
}

void simulation::execute_actions(const scheduler_actions& actions)
{
    for (const auto& it : actions) {
        if (const auto* sent = std::get_if<send_grant>(&it)) {
            const auto index = index_of(sent->value.request.str());
            schedule(clock_ + 2 * scenario_.site.zone_ms,
                     [this, index, value = sent->value] { dispatch(index, value); });
        } else if (const auto* refused = std::get_if<send_refusal>(&it)) {
            requests_[index_of(refused->value.request.str())].state = request_state::refused;
        }
    }
}

void simulation::dispatch(std::size_t index, const grant& value)
{
    auto& it = requests_[index];
    const auto& from = scenario_.arrivals[index];
    it.grant = value.id;
    it.engine = index_of(value.engine.str().substr(1));
    it.state = request_state::running;
    it.dispatched_ms = clock_;
    it.was_reported = false;
    open_requests_[index % gateway_count].push_back(index);
    if (engines_[it.engine].dead) {
        on_request_lost(index);
        return;
    }
    standin::engine_sequence sequence;
    sequence.id = std::to_string(index);
    sequence.priority = value.priority;
    sequence.input = from.input;
    sequence.output_target = from.output;
    sequence.prefix = from.prefix;
    sequence.prefix_tokens = from.prefix_tokens > 0 ? from.prefix_tokens : from.input;
    engines_[it.engine].model.add(std::move(sequence));
    if (!engines_[it.engine].stepping) {
        step(it.engine);
    }
}

void simulation::step(std::size_t index)
{
    auto& it = engines_[index];
    it.stepping = !it.dead && !it.model.idle();
    if (!it.stepping) {
        return;
    }
    auto done = std::make_shared<standin::engine_step>(it.model.step());
    schedule(clock_ + done->duration_ms, [this, index, done] { finish_step(index, *done); });
}

void simulation::finish_step(std::size_t index, const standin::engine_step& done)
{
    if (engines_[index].dead) {
        return;
    }
    const bool measured = clock_ >= scenario_.warmup_ms;
    statistics_.recomputed += measured ? done.recomputed : 0;
    statistics_.prompt_computed += measured ? done.prompt_computed : 0;
    statistics_.prompt_saved += measured ? done.prompt_saved : 0;
    record_cache_events(index, done);
    for (const auto& id : done.preempted) {
        const auto preempted_index = index_of(id);
        statistics_.preemptions += measured ? 1 : 0;
        const auto urgency = static_cast<std::size_t>(scenario_.arrivals[preempted_index].urgency);
        statistics_.classes[urgency].preemptions += measured ? 1 : 0;
        ++requests_[preempted_index].preemptions;
    }
    for (const auto& id : done.advanced) {
        deliver_token(index_of(id));
    }
    for (const auto& id : done.finished) {
        finish(index_of(id));
    }
    step(index);
}

void simulation::record_delivery(std::size_t index, double ms)
{
    auto& it = requests_[index];
    it.longest_stall_ms = std::max(it.longest_stall_ms, ms - it.last_delivery_ms);
    it.last_delivery_ms = ms;
}

void simulation::deliver_token(std::size_t index)
{
    auto& it = requests_[index];
    const auto& from = scenario_.arrivals[index];
    const double arrives = clock_ + scenario_.site.zone_ms + scenario_.site.client_ms;
    const bool measured = clock_ >= scenario_.warmup_ms;
    if (it.produced > 0 && measured) {
        statistics_.classes[static_cast<std::size_t>(from.urgency)].gap.add(arrives - it.last_delivery_ms);
        statistics_.gap.add(arrives - it.last_delivery_ms);
    } else if (it.produced == 0) {
        statistics_.started += measured ? 1 : 0;
        if (from.urgency == work_class::draft && from.at_ms >= scenario_.warmup_ms) {
            statistics_.organisations[from.organisation].wait.add(arrives - from.at_ms);
        }
    }
    record_delivery(index, arrives);
    ++it.produced;
    if (measured) {
        statistics_.useful += 1;
        statistics_.organisations[from.organisation].tokens += 1;
    }
}

void simulation::on_request_lost(std::size_t index)
{
    auto& it = requests_[index];
    it.state = request_state::lost;
    if (it.produced > 0) {
        return;
    }
    // The gateway reports the loss and immediately requests a new grant that excludes the failed engine.
    it.excluded.push_back(upstream_id(fmt::format("e{:02}", it.engine)));
    const auto old = it.grant;
    progress_report report;
    report.grants.push_back(
        {old, request_id(std::to_string(index)), it.excluded.back(), {}, {}, {}, {}, {}, {}, grant_state::lost, {}, 0});
    auto& list = open_requests_[index % gateway_count];
    list.erase(std::remove(list.begin(), list.end(), index), list.end());
    schedule(clock_ + 2 * scenario_.site.zone_ms, [this, index, report] {
        execute_actions(policy_.on_progress(now(), gateway_of(index), report));
        requests_[index].state = request_state::waiting;
        send_request(index);
    });
}

void simulation::apply_fault(const engine_fault& fault)
{
    auto& it = engines_[fault.engine];
    if (fault.kind == fault_kind::leaving) {
        it.leaving = true;
        return;
    }
    if (fault.kind == fault_kind::slow) {
        constexpr double factor = 10;
        it.model.set_slowdown(factor);
        return;
    }
    it.dead = true;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        if (requests_[i].state == request_state::running && requests_[i].engine == fault.engine) {
            on_request_lost(i);
        }
    }
}

grant_progress simulation::progress_of(std::size_t index) const
{
    const auto& it = requests_[index];
    const auto& from = scenario_.arrivals[index];
    grant_progress out;
    out.id = it.grant;
    out.request = request_id(std::to_string(index));
    out.engine = upstream_id(fmt::format("e{:02}", it.engine));
    out.organisation = organisation_id(fmt::format("o{}", from.organisation));
    out.workload = workload_name(from.workload);
    out.model = model_name("model");
    out.urgency = from.urgency;
    out.input = {from.input};
    out.output = {it.produced};
    out.state = it.state == request_state::running    ? grant_state::running
                : it.state == request_state::finished ? grant_state::finished
                                                      : grant_state::lost;
    out.silent = milliseconds(static_cast<std::int64_t>(clock_ - std::max(it.dispatched_ms, it.last_delivery_ms)));
    out.preemptions = it.preemptions;
    return out;
}

void simulation::send_report(std::size_t gateway, progress_report report)
{
    schedule(clock_ + scenario_.site.zone_ms, [this, gateway, report = std::move(report)] {
        execute_actions(policy_.on_progress(now(), gateway_of(gateway), report));
    });
}

void simulation::finish(std::size_t index)
{
    requests_[index].state = request_state::finished;
    auto& list = open_requests_[index % gateway_count];
    list.erase(std::remove(list.begin(), list.end(), index), list.end());
    // A gateway reports the end of a request immediately.
    send_report(index % gateway_count, {{progress_of(index)}, {}, false});
}

void simulation::report_progress(std::size_t gateway)
{
    progress_report report;
    const auto& list = open_requests_[gateway];
    const bool all = clock_ >= next_full_report_[gateway];
    for (const auto index : list) {
        if (all || !requests_[index].was_reported) {
            report.grants.push_back(progress_of(index));
            requests_[index].was_reported = true;
        }
    }
    if (all) {
        next_full_report_[gateway] =
            clock_ + static_cast<double>(progress_period(list.size(), progress_rate()).count());
    }
    if (!report.grants.empty()) {
        send_report(gateway, std::move(report));
    }
    schedule(clock_ + progress_period_ms, [this, gateway] { report_progress(gateway); });
}

void simulation::record_cache_events(std::size_t index, const standin::engine_step& done)
{
    for (const auto& it : done.prefix_changes) {
        if (std::generate_canonical<double, 53>(cache_random_) >= scenario_.cache_loss_ratio) {
            engines_[index].cache_events.emplace_back(clock_, cache_event{it.prefix, it.evicted, {}});
        }
    }
}

std::vector<cache_event> simulation::due_cache_events(std::size_t index)
{
    auto& events = engines_[index].cache_events;
    const auto last = std::find_if(events.begin(), events.end(), [&](const auto& it) {
        return it.first + scenario_.cache_delay_ms > clock_ + scenario_.load_delay_ms;
    });
    std::vector<cache_event> out;
    for (auto it = events.begin(); it != last; ++it) {
        out.push_back(it->second);
        out.back().age = milliseconds(static_cast<std::int64_t>(clock_ - it->first));
    }
    events.erase(events.begin(), last);
    return out;
}

void simulation::report_load(std::size_t index)
{
    const auto& it = engines_[index];
    const double lost = std::generate_canonical<double, 53>(random_);
    if (!it.dead && lost >= scenario_.load_loss_ratio) {
        engine_load value;
        value.engine = upstream_id(fmt::format("e{:02}", index));
        value.used = {it.model.used()};
        value.capacity = {it.model.settings().capacity};
        value.running = it.model.running();
        value.waiting = it.model.waiting();
        value.preemptions = it.model.preemptions();
        value.lag = milliseconds(static_cast<std::int64_t>(scenario_.load_delay_ms));
        value.leaving = it.leaving;
        value.cache_events = due_cache_events(index);
        schedule(clock_ + scenario_.load_delay_ms, [this, value] { execute_actions(policy_.on_load(now(), value)); });
    }
    schedule(clock_ + load_period_ms, [this, index] { report_load(index); });
}

void simulation::tick()
{
    execute_actions(policy_.on_tick(now()));
    schedule(clock_ + tick_period_ms, [this] { tick(); });
}

void simulation::collect_statistics()
{
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        const auto& from = scenario_.arrivals[i];
        auto& it = requests_[i];
        if (from.at_ms < scenario_.warmup_ms) {
            continue;
        }
        auto& figures = statistics_.classes[static_cast<std::size_t>(from.urgency)];
        ++figures.requests;
        figures.finished += it.state == request_state::finished ? 1 : 0;
        figures.refusals += it.state == request_state::refused ? 1 : 0;
        figures.lost += it.state == request_state::lost ? 1 : 0;
        if (it.state == request_state::refused || it.state == request_state::lost) {
            continue;
        }
        if (it.state != request_state::finished) {
            record_delivery(i, std::max(clock_, it.last_delivery_ms));
            if (it.produced == 0 && from.urgency == work_class::draft) {
                statistics_.organisations[from.organisation].wait.add(clock_ - from.at_ms);
            }
        }
        figures.stall.add(it.longest_stall_ms);
    }
}

} // namespace anvillead::bench
