#include "node/rate_service.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/log.h"
#include "node/placement_service.h"

namespace anvillead {

namespace {

// Changes within this time are sent together.
constexpr milliseconds gather_time{10};
// Interval of the log lines about one upstream whose load cannot be read; it may say so in each answer.
constexpr milliseconds rejection_log_interval{10'000};
// Covers a round trip between zones and the scheduling delays of two hosts, but no resending of a lost datagram.
constexpr milliseconds answer_timeout{40};
constexpr milliseconds period{150};
// Covers the way of the grant, the way of the request and the report of the host that has sent it.
constexpr milliseconds report_delay{40};

} // namespace

rate_service::rate_service(node_context& context, const report_exchange& reports, send_hook send)
    : context_(context), send_(std::move(send)), exchange_(limit_state(limits_), reports)
{
    limits_.set_warmup(
        [this](instant now, const upstream_id& upstream) { return context_.directory.warmup_rate(now, upstream); });
    limits_.on_change([this](const upstream_limit& value) {
        const auto age = std::chrono::duration_cast<milliseconds>(context_.timers.now() - value.at);
        log(log_level::warning, log_event::upstream_limit_changed,
            {{"upstream", value.upstream.str()},
             {"per_second", value.rate < 0 ? std::string("unlimited") : fmt::format("{:.3f}", value.rate)},
             {"tolerated_refusals",
              value.brittle() ? fmt::format("{:.3f}", value.tolerated_refusals) : std::string("unlimited")},
             {"owner", owner(value.upstream).str()},
             {"age_ms", std::to_string(age.count())}});
    });
}

void rate_service::start()
{
    context_.timers.every(period, [self = shared_from_this()] {
        const auto now = self->context_.timers.now();
        self->limits_.expire(now);
        for (auto it = self->load_rejections_.begin(); it != self->load_rejections_.end();) {
            it = now - it->second >= rejection_log_interval ? self->load_rejections_.erase(it) : std::next(it);
        }
        self->send(self->exchange_.run_period(now));
        self->context_.counters.set("limited_upstreams", static_cast<double>(self->limits_.count()));
        self->context_.counters.set("cold_upstreams", static_cast<double>(self->context_.directory.cold_count(now)));
    });
}

void rate_service::send(const fleet_broadcast::outgoing& value)
{
    for (const auto& datagram : value.datagrams) {
        for (const auto& it : value.addresses) {
            send_(it, datagram);
        }
    }
}

void rate_service::schedule_changes()
{
    if (!exchange_.has_changes() || std::exchange(changes_scheduled_, true)) {
        return;
    }
    context_.timers.after(gather_time, [self = shared_from_this()] {
        self->changes_scheduled_ = false;
        self->send(self->exchange_.take_changes(self->context_.timers.now()));
    });
}

void rate_service::on_answer(const upstream_id& upstream, const upstream_response_head& head)
{
    if (head.leaving && !head.foreign) {
        context_.directory.on_said_leaving(context_.timers.now(), upstream);
    }
    record_state(upstream, head);
    if (head.rest) {
        limits_.rest(context_.timers.now(), upstream, *head.rest);
        log(log_level::warning, log_event::upstream_rests,
            {{"upstream", upstream.str()}, {"rest_ms", std::to_string(head.rest->count())}});
    }
    if (head.rate_limit_invalid) {
        context_.counters.add("upstream_limits_rejected_total");
        log(log_level::warning, log_event::upstream_limit_rejected, {{"upstream", upstream.str()}});
        return;
    }
    // Another program that has taken over the address cannot end the limit.
    const bool own_answer = head.stamped && !head.foreign;
    if (!head.rate_limit && !head.tolerated_refusals && !own_answer) {
        return;
    }
    limits_.update(context_.timers.now(), {upstream, head.rate_limit.value_or(-1), context_.timers.now(),
                                           head.tolerated_refusals.value_or(-1)});
    schedule_changes();
}

void rate_service::record_state(const upstream_id& upstream, const upstream_response_head& head)
{
    const auto now = context_.timers.now();
    if (head.load) {
        context_.loads.on_report(now, upstream, *head.load);
    }
    if (head.warmup_left && !head.foreign) {
        context_.directory.on_warmup_stated(now, upstream, *head.warmup_left);
    }
    if (!head.load_invalid) {
        return;
    }
    context_.counters.add("upstream_loads_rejected_total");
    auto& logged = load_rejections_[upstream];
    if (logged == instant{} || now - logged >= rejection_log_interval) {
        logged = now;
        log(log_level::warning, log_event::upstream_load_rejected, {{"upstream", upstream.str()}});
    }
}

host_id rate_service::owner(const upstream_id& upstream) const
{
    const auto* entry = context_.directory.find(upstream);
    if (entry != nullptr) {
        // The scheduler of a large fleet grants the engines anyway.
        if (const auto scheduler = context_.placements->scheduler_of_engines(entry->record.service)) {
            return *scheduler;
        }
    }
    return context_.responsible_for("rate/" + upstream.str());
}

bool rate_service::take(const upstream_id& upstream)
{
    const auto now = context_.timers.now();
    const auto wait = grant(upstream, context_.settings.host);
    if (wait.count() > 0) {
        limits_.close(now, upstream, wait);
    }
    return wait.count() == 0;
}

bool rate_service::counts_requests(const upstream_id& upstream) const
{
    const auto* limit = limits_.find(upstream);
    return limit != nullptr && limit->brittle();
}

void rate_service::release(const upstream_id& upstream, bool refused)
{
    const auto granting = owner(upstream);
    const auto* report = context_.peers.find(granting);
    if (granting == context_.settings.host || report == nullptr) {
        limits_.release_slot(context_.timers.now(), upstream, refused);
        return;
    }
    send_(report->addresses.report, encode_slot_release({upstream, refused}));
}

milliseconds rate_service::grant_slot(const upstream_id& upstream, const host_id& asker)
{
    const auto now = context_.timers.now();
    const auto* entry = context_.directory.find(upstream);
    if (entry == nullptr || !counts_requests(upstream)) {
        return milliseconds(0);
    }
    const auto slots = static_cast<std::size_t>(std::max(1, entry->record.slots));
    const auto* profile = context_.routes ? context_.routes->service(entry->record.service) : nullptr;
    if (profile == nullptr || !profile->engine) {
        return limits_.take_slot(now, upstream, slots);
    }
    // Hosts report each generation at once, and it takes long.
    context_.loads.expire(now);
    if (context_.loads.total(upstream).active >= static_cast<int>(slots)) {
        return upstream_limit_settings().slot_wait;
    }
    if (asker != context_.settings.host) {
        context_.loads.reserve(now + report_delay, upstream, {1, 0, 0, 0});
    }
    return milliseconds(0);
}

milliseconds rate_service::grant(const upstream_id& upstream, const host_id& asker)
{
    const auto slot = grant_slot(upstream, asker);
    if (slot.count() > 0) {
        context_.counters.add("slot_refusals_total");
        return slot;
    }
    const auto wait = limits_.take(context_.timers.now(), upstream);
    if (wait.count() > 0) {
        limits_.release_slot(context_.timers.now(), upstream, false);
    }
    return wait;
}

void rate_service::request(const upstream_id& upstream, done_hook done)
{
    if (!limits_.limited(context_.timers.now(), upstream)) {
        done(true);
        return;
    }
    // For an upstream that is only cold, the request tells the owner nothing about a rate.
    const auto* known = limits_.find(upstream);
    const auto limit = known != nullptr ? *known : upstream_limit{upstream};
    const auto granting = owner(upstream);
    const auto* report = context_.peers.find(granting);
    if (granting == context_.settings.host || report == nullptr) {
        // Without any other host, for example while the last one shuts down, this host grants by itself.
        done(take(upstream));
        return;
    }
    const auto number = ++last_number_;
    auto& value = pending_[number];
    value.upstream = upstream;
    value.done = std::move(done);
    value.timer = context_.timers.after(answer_timeout, [self = shared_from_this(), number] {
        self->context_.counters.add("rate_silences_total");
        self->finish(number, upstream_limit_settings().silence_wait);
    });
    send_(report->addresses.report,
          encode_rate_request(context_.timers.now(), {context_.settings.host, number, limit}));
}

void rate_service::finish(std::uint64_t number, milliseconds wait)
{
    auto node = pending_.extract(number);
    if (node.empty()) {
        return;
    }
    auto& value = node.mapped();
    context_.timers.cancel(value.timer);
    const bool granted = wait.count() == 0;
    context_.counters.add(granted ? "rate_grants_total" : "rate_refusals_total");
    if (!granted) {
        limits_.close(context_.timers.now(), value.upstream, wait);
    }
    value.done(granted);
}

void rate_service::handle_request(const rate_request& value)
{
    const auto now = context_.timers.now();
    limits_.update(now, value.limit);
    schedule_changes();
    const auto* report = context_.peers.find(value.asker);
    if (report == nullptr) {
        return;
    }
    const bool own = owner(value.limit.upstream) == context_.settings.host;
    const auto wait = own ? grant(value.limit.upstream, value.asker) : upstream_limit_settings().silence_wait;
    send_(report->addresses.report, encode_rate_response({value.number, wait}));
}

bool rate_service::receive(const std::string& datagram)
{
    const auto now = context_.timers.now();
    if (exchange_.receive(now, datagram)) {
        schedule_changes();
        return true;
    }
    if (const auto request = decode_rate_request(now, datagram)) {
        handle_request(*request);
        return true;
    }
    if (const auto ended = decode_slot_release(datagram)) {
        limits_.release_slot(now, ended->upstream, ended->refused);
        return true;
    }
    if (const auto response = decode_rate_response(datagram)) {
        finish(response->number, response->wait);
        return true;
    }
    return false;
}

} // namespace anvillead
