#include "node/trial_service.h"

#include "core/log.h"

namespace anvillead {

namespace {

// Covers a round trip between zones and the scheduling delays of two hosts, but no resending of a lost datagram.
constexpr milliseconds answer_timeout{40};
constexpr const char* responsibility = "suspect-trials";

std::string_view to_string(trial_verdict verdict)
{
    switch (verdict) {
    case trial_verdict::granted:
        return "granted";
    case trial_verdict::wait:
        return "wait";
    case trial_verdict::use_other_upstream:
        return "use_other_upstream";
    }
    return "wait";
}

} // namespace

trial_service::trial_service(node_context& context, send_hook send) : context_(context), send_(std::move(send)) {}

void trial_service::begin(const request_id& request, const trial& value, done_hook done)
{
    const auto number = ++last_number_;
    auto& pending = pending_[number];
    pending = {request, value, std::move(done), 0};
    const auto owner = context_.responsible_for(responsibility);
    const auto* report = context_.peers.find(owner);
    if (owner == context_.settings.host || report == nullptr) {
        finish(number, trials_.begin(context_.timers.now(), value));
        return;
    }
    pending.timer = context_.timers.after(answer_timeout, [self = shared_from_this(), number, value] {
        self->context_.counters.add("trial_silences_total");
        // Most requests that were in one crash are sound, and the others are told apart at the next one.
        self->finish(number, value.crashes > 1 ? trial_verdict::wait : trial_verdict::granted);
    });
    send_(report->addresses.report, encode_trial_request({context_.settings.host, number, value}));
}

void trial_service::finish(std::uint64_t number, trial_verdict verdict)
{
    auto node = pending_.extract(number);
    if (node.empty()) {
        return;
    }
    const auto& value = node.mapped();
    context_.timers.cancel(value.timer);
    log(log_level::info, log_event::suspect_tried,
        {{"request", value.request.str()},
         {"upstream", value.value.upstream.str()},
         {"request_traits", format_traits({value.value.trait})},
         {"crashes", std::to_string(value.value.crashes)},
         {"served_before", value.value.sound_before ? "yes" : "no"},
         {"verdict", std::string(to_string(verdict))}});
    context_.counters.add("suspect_trials_total{verdict=\"" + std::string(to_string(verdict)) + "\"}");
    value.done(verdict);
}

void trial_service::end(const trial& value)
{
    const auto owner = context_.responsible_for(responsibility);
    const auto* report = context_.peers.find(owner);
    if (owner == context_.settings.host || report == nullptr) {
        trials_.end(value);
        return;
    }
    send_(report->addresses.report, encode_trial_end(value));
}

void trial_service::handle_request(const trial_request& value)
{
    const auto* report = context_.peers.find(value.asker);
    if (report != nullptr) {
        send_(report->addresses.report,
              encode_trial_response({value.number, trials_.begin(context_.timers.now(), value.value)}));
    }
}

bool trial_service::receive(const std::string& datagram)
{
    if (const auto request = decode_trial_request(datagram)) {
        handle_request(*request);
        return true;
    }
    if (const auto response = decode_trial_response(datagram)) {
        finish(response->number, response->verdict);
        return true;
    }
    if (const auto ended = decode_trial_end(datagram)) {
        trials_.end(*ended);
        return true;
    }
    return false;
}

} // namespace anvillead
