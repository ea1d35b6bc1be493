#include "apps/gateway/claim_driver.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::size_t nonce_bytes = 8;

std::string_view verdict_name(const claim_result& value)
{
    switch (value.value) {
    case claim_result::verdict::claimed:
        return "claimed";
    case claim_result::verdict::free:
        return "free";
    case claim_result::verdict::taken:
        return "taken";
    case claim_result::verdict::refused:
        break;
    }
    return to_string(value.reason.kind);
}

} // namespace

claim_driver::claim_driver(claim_driver_parts parts, const claim_settings& settings)
    : parts_(std::move(parts)), journal_(settings.journal, [] { return random_hex(nonce_bytes); }),
      bound_keys_(settings.bound_keys)
{}

claim_time claim_driver::now() const
{
    const auto& timers = parts_.pool.timers();
    return {timers.now(), timers.wall_now()};
}

result<claim_driver::holder> claim_driver::holder_of(const claim_request& request) const
{
    const auto key = parse_idempotency_key(request.key);
    if (!key) {
        return key.error();
    }
    if (!key.value().bound()) {
        return holder::journal;
    }
    const auto owner = parts_.bound_keys.owner_of(key.value().bound_prefix);
    if (!owner) {
        return owner.error();
    }
    if (owner.value() == parts_.self) {
        return holder::bound_keys;
    }
    return make_error(error_kind::run_elsewhere, "the key is bound to another gateway");
}

void claim_driver::set_gateways(std::size_t count)
{
    parts_.sequence->post([this, count] { journal_.set_gateways(count); });
}

claim_ticket claim_driver::claim(claim_request request, std::function<void(claim_result)> callback)
{
    const auto ticket = ++last_ticket_;
    parts_.sequence->post([this, ticket, request = std::move(request), callback = std::move(callback)]() mutable {
        begin(ticket, std::move(request), false, std::move(callback));
    });
    return ticket;
}

void claim_driver::look_up(claim_request request, std::function<void(claim_result)> callback)
{
    const auto ticket = ++last_ticket_;
    parts_.sequence->post([this, ticket, request = std::move(request), callback = std::move(callback)]() mutable {
        begin(ticket, std::move(request), true, std::move(callback));
    });
}

void claim_driver::begin(claim_ticket ticket, claim_request request, bool only_look,
                         std::function<void(claim_result)> callback)
{
    const auto decider = holder_of(request);
    if (!decider) {
        callback({claim_result::verdict::refused, ticket, {}, decider.error()});
        return;
    }
    const auto time = now();
    if (decider.value() == holder::bound_keys) {
        const auto answer =
            only_look ? bound_keys_.look_up(time.wall, ticket, request) : bound_keys_.claim(time.wall, ticket, request);
        parts_.counters.add(fmt::format("bound_keys_total{{verdict=\"{}\"}}", verdict_name(answer)));
        callback(answer);
        return;
    }
    claims_[ticket] = std::move(callback);
    carry_out(only_look ? journal_.look_up(time, ticket, std::move(request))
                        : journal_.claim(time, ticket, std::move(request)));
}

void claim_driver::complete(claim_ticket ticket, stored_answer answer)
{
    if (answer.body.size() > stored_answer_bytes) {
        release(ticket);
        return;
    }
    parts_.sequence->post([this, ticket, answer = std::move(answer)]() mutable {
        if (bound_keys_.holds(ticket)) {
            bound_keys_.complete(ticket, std::move(answer));
        } else {
            carry_out(journal_.complete(now(), ticket, std::move(answer)));
        }
    });
}

void claim_driver::release(claim_ticket ticket)
{
    parts_.sequence->post([this, ticket] {
        bound_keys_.release(ticket);
        journal_.release(ticket);
    });
}

void claim_driver::withdraw(claim_ticket ticket, std::function<void(result<void>)> callback)
{
    parts_.sequence->post([this, ticket, callback = std::move(callback)]() mutable {
        if (bound_keys_.holds(ticket)) {
            bound_keys_.withdraw(ticket);
            callback(success());
            return;
        }
        claims_.erase(ticket);
        withdrawals_[ticket] = std::move(callback);
        carry_out(journal_.withdraw(now(), ticket));
    });
}

void claim_driver::carry_out(const claim_actions& actions)
{
    for (const auto& it : actions) {
        std::visit([this](const auto& action) { act(action); }, it);
    }
}

void claim_driver::act(const read_claims& action)
{
    parts_.counters.add("claim_reads_total");
    parts_.platform.get(action.object, [this, name = action.object](const result<platform_object>& answer) {
        carry_out(journal_.on_read(now(), name, answer));
    });
}

void claim_driver::act(const write_claims& action)
{
    parts_.counters.add("claim_writes_total");
    parts_.platform.put(action.object, action.value, action.if_version,
                        [this, name = action.object](const result<std::uint64_t>& answer) {
                            if (!answer) {
                                parts_.counters.add(fmt::format("claim_write_failures_total{{kind=\"{}\"}}",
                                                                to_string(answer.error().kind)));
                            }
                            carry_out(journal_.on_written(now(), name, answer));
                        });
}

void claim_driver::act(const answer_claim& action)
{
    const auto it = claims_.find(action.ticket);
    if (it == claims_.end()) {
        return;
    }
    const auto callback = std::move(it->second);
    claims_.erase(it);
    parts_.counters.add(fmt::format("claims_total{{verdict=\"{}\"}}", verdict_name(action.result)));
    callback(action.result);
}

void claim_driver::act(const answer_withdrawal& action)
{
    const auto it = withdrawals_.find(action.ticket);
    if (it == withdrawals_.end()) {
        return;
    }
    const auto callback = std::move(it->second);
    withdrawals_.erase(it);
    parts_.counters.add(action.result ? "claim_withdrawals_total" : "claim_withdrawals_unconfirmed_total");
    callback(action.result);
}

void claim_driver::act(const wake_journal& action)
{
    if (action.at >= wake_at_) {
        return;
    }
    wake_at_ = action.at;
    const auto wait = std::chrono::ceil<milliseconds>(action.at - parts_.pool.timers().now());
    parts_.pool.timers().after(std::max(wait, milliseconds(0)), [this, at = action.at] {
        parts_.sequence->post([this, at] {
            if (wake_at_ == at) {
                wake_at_ = instant::max();
            }
            carry_out(journal_.on_timer(now()));
        });
    });
}

} // namespace anvillead
