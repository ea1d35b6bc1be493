#include "node/quarantine_service.h"

namespace anvillead {

namespace {

// Changes within this time are sent together.
constexpr milliseconds gather_time{10};
// Covers a round trip between zones and the scheduling delays of two hosts, but no resending of a lost datagram.
constexpr milliseconds probe_answer_timeout{40};
constexpr milliseconds period{150};
// Hosts that a host asks for the evidence after its start, in case some have just started, too.
constexpr int hosts_to_ask = 3;
constexpr const char* probe_key = "prompt-probes";

} // namespace

quarantine_service::quarantine_service(node_context& context, const report_exchange& reports, send_hook send)
    : context_(context), send_(send), exchange_(evidence_state(quarantine_), reports),
      trials_(std::make_shared<trial_service>(context, std::move(send)))
{
    quarantine_.set_hooks({[this](const quarantine_entry& it) {
                               log_entry(log_event::request_quarantined, it);
                               newly_quarantined_ = true;
                           },
                           [this](const quarantine_entry& it) { log_entry(log_event::quarantine_ended, it); },
                           [this](const crash_record& it) { trials_->on_crash(it.upstream); }});
}

void quarantine_service::log_entry(log_event event, const quarantine_entry& value)
{
    const auto age = context_.timers.now() - value.last_crash;
    log(log_level::warning, event,
        {{"request_traits", format_traits(value.traits)},
         {"last_crash_age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(age).count())},
         {"failed_probes", std::to_string(value.failed_probes)}});
}

void quarantine_service::start()
{
    context_.timers.every(period, [self = shared_from_this()] {
        const auto now = self->context_.timers.now();
        self->quarantine_.expire(now);
        // Time alone may have put a request under quarantine.
        self->schedule_changes();
        self->send(self->exchange_.run_period(now));
        self->context_.counters.set("quarantined_requests", static_cast<double>(self->quarantine_.entries().size()));
    });
}

void quarantine_service::send(const fleet_broadcast::outgoing& value)
{
    for (const auto& datagram : value.datagrams) {
        for (const auto& it : value.addresses) {
            send_(it, datagram);
        }
    }
}

void quarantine_service::schedule_changes()
{
    if (std::exchange(newly_quarantined_, false) && on_quarantined_) {
        on_quarantined_();
    }
    if (!exchange_.has_changes() || std::exchange(changes_scheduled_, true)) {
        return;
    }
    context_.timers.after(gather_time, [self = shared_from_this()] {
        self->changes_scheduled_ = false;
        self->send(self->exchange_.take_changes(self->context_.timers.now()));
    });
}

void quarantine_service::add_crash(crash_record value)
{
    quarantine_.add_crash(context_.timers.now(), std::move(value));
    schedule_changes();
}

void quarantine_service::add_sound_traits(instant served, const request_traits& traits)
{
    quarantine_.add_sound_traits(context_.timers.now(), served, traits);
    schedule_changes();
}

bool quarantine_service::clear(const request_trait& trait)
{
    const bool cleared = quarantine_.clear(context_.timers.now(), trait);
    schedule_changes();
    return cleared;
}

bool quarantine_service::allow_probe(const request_traits& entry_traits)
{
    const auto now = context_.timers.now();
    const auto* entry = quarantine_.find(entry_traits);
    if (entry == nullptr || !quarantine_.probe_due(now, *entry)) {
        return false;
    }
    quarantine_.record_probe(now, request_traits(entry->traits));
    schedule_changes();
    return true;
}

void quarantine_service::admit(const request_id& request, const request_traits& traits, admit_hook done)
{
    const auto* entry = quarantine_.find(traits);
    if (entry == nullptr) {
        done(true);
        return;
    }
    const auto owner = context_.responsible_for(probe_key);
    const auto* report = context_.peers.find(owner);
    const bool own = owner == context_.settings.host;
    if (!quarantine_.probe_due(context_.timers.now(), *entry) || (!own && report == nullptr)) {
        done(false);
        return;
    }
    const auto number = ++last_number_;
    auto& value = pending_[number];
    value.request = request;
    value.done = std::move(done);
    if (own) {
        finish(number, allow_probe(entry->traits));
        return;
    }
    value.timer = context_.timers.after(probe_answer_timeout,
                                        [self = shared_from_this(), number] { self->finish(number, false); });
    send_(report->addresses.report, encode_probe_request({context_.settings.host, number, entry->traits}));
}

void quarantine_service::begin_trial(const request_id& request, const request_traits& traits,
                                     const upstream_id& upstream, bool is_generation, trial_hook done)
{
    const auto suspicion = quarantine_.suspicion(traits);
    // Generations of an organisation may be alike as whole requests, and take long.
    const bool cleared_by_others = is_generation && suspicion.sound_before && suspicion.crashes == 1;
    if (suspicion.crashes == 0 || cleared_by_others) {
        done(trial_verdict::granted, std::nullopt);
        return;
    }
    if (suspicion.crashes > 1 && context_.timers.now() - suspicion.last_crash < quarantine_limits().settling_time) {
        done(trial_verdict::wait, std::nullopt);
        return;
    }
    const trial value{traits.front(), upstream, suspicion.crashes, suspicion.sound_before};
    trials_->begin(request, value, [value, done = std::move(done)](trial_verdict verdict) {
        done(verdict, verdict == trial_verdict::granted ? std::optional<trial>(value) : std::nullopt);
    });
}

void quarantine_service::finish(std::uint64_t number, bool allowed)
{
    auto node = pending_.extract(number);
    if (node.empty()) {
        return;
    }
    context_.timers.cancel(node.mapped().timer);
    if (allowed) {
        log(log_level::warning, log_event::quarantine_probed, {{"request", node.mapped().request.str()}});
        context_.counters.add("quarantine_probes_total");
    }
    node.mapped().done(allowed);
}

void quarantine_service::handle_request(const probe_request& value)
{
    const auto* report = context_.peers.find(value.asker);
    if (report != nullptr && context_.responsible_for(probe_key) == context_.settings.host) {
        send_(report->addresses.report, encode_probe_response({value.number, allow_probe(value.entry_traits)}));
    }
}

void quarantine_service::on_host_joined(const host_report& host)
{
    if (hosts_asked_ < hosts_to_ask) {
        ++hosts_asked_;
        send_(host.addresses.report, encode_evidence_request(context_.settings.host));
    }
}

bool quarantine_service::receive(const std::string& datagram)
{
    if (const auto asker = decode_evidence_request(datagram)) {
        const auto* report = context_.peers.find(*asker);
        if (report != nullptr) {
            for (auto& it : exchange_.everything(context_.timers.now())) {
                send_(report->addresses.report, std::move(it));
            }
        }
        return true;
    }
    if (exchange_.receive(context_.timers.now(), datagram)) {
        schedule_changes();
        return true;
    }
    if (trials_->receive(datagram)) {
        return true;
    }
    if (const auto request = decode_probe_request(datagram)) {
        handle_request(*request);
        return true;
    }
    if (const auto response = decode_probe_response(datagram)) {
        finish(response->number, response->allowed);
        return true;
    }
    return false;
}

} // namespace anvillead
