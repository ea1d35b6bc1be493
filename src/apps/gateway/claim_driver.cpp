#include "apps/gateway/claim_driver.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace anvillead {

namespace {

constexpr std::size_t nonce_bytes = 8;

std::string_view verdict_label(const claim_result& value)
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

claim_driver::claim_driver(claim_driver_context context, const claim_settings& settings)
    : context_(std::move(context)), journal_(settings.journal, [] { return random_hex(nonce_bytes); }),
      bound_keys_(settings.bound_keys)
{}

claim_time claim_driver::now() const
{
    const auto& timers = context_.pool.timers();
    return {timers.now(), timers.wall_now()};
}

result<claim_driver::claim_store> claim_driver::store_for(const claim_request& request) const
{
    const auto key = parse_idempotency_key(request.key);
    if (!key) {
        return key.error();
    }
    if (!key.value().bound()) {
        return claim_store::journal;
    }
    const auto owner = context_.bound_keys.owner_of(key.value().bound_prefix);
    if (!owner) {
        return owner.error();
    }
    if (owner.value() == context_.self) {
        return claim_store::bound_keys;
    }
    return make_error(error_kind::run_elsewhere, "the key is bound to another gateway");
}

void claim_driver::set_gateways(std::size_t count)
{
    context_.sequence->post([this, count] { journal_.set_gateways(count); });
}

claim_ticket claim_driver::claim(claim_request request, std::function<void(claim_result)> callback)
{
    const auto ticket = ++last_ticket_;
    context_.sequence->post([this, ticket, request = std::move(request), callback = std::move(callback)]() mutable {
        start_claim(ticket, std::move(request), false, std::move(callback));
    });
    return ticket;
}

void claim_driver::look_up(claim_request request, std::function<void(claim_result)> callback)
{
    const auto ticket = ++last_ticket_;
    context_.sequence->post([this, ticket, request = std::move(request), callback = std::move(callback)]() mutable {
        start_claim(ticket, std::move(request), true, std::move(callback));
    });
}

void claim_driver::start_claim(claim_ticket ticket, claim_request request, bool lookup_only,
                               std::function<void(claim_result)> callback)
{
    const auto store = store_for(request);
    if (!store) {
        callback({claim_result::verdict::refused, ticket, {}, store.error()});
        return;
    }
    const auto time = now();
    if (store.value() == claim_store::bound_keys) {
        const auto answer = lookup_only ? bound_keys_.look_up(time.wall, ticket, request)
                                        : bound_keys_.claim(time.wall, ticket, request);
        context_.counters.add(fmt::format("bound_keys_total{{verdict=\"{}\"}}", verdict_label(answer)));
        callback(answer);
        return;
    }
    claims_[ticket] = std::move(callback);
    carry_out(lookup_only ? journal_.look_up(time, ticket, std::move(request))
                          : journal_.claim(time, ticket, std::move(request)));
}

void claim_driver::complete(claim_ticket ticket, stored_answer answer)
{
    if (answer.body.size() > max_stored_answer_bytes) {
        release(ticket);
        return;
    }
    context_.sequence->post([this, ticket, answer = std::move(answer)]() mutable {
        if (bound_keys_.holds(ticket)) {
            bound_keys_.complete(ticket, std::move(answer));
        } else {
            carry_out(journal_.complete(now(), ticket, std::move(answer)));
        }
    });
}

void claim_driver::release(claim_ticket ticket)
{
    context_.sequence->post([this, ticket] {
        bound_keys_.release(ticket);
        journal_.release(ticket);
    });
}

void claim_driver::withdraw(claim_ticket ticket, std::function<void(result<void>)> callback)
{
    context_.sequence->post([this, ticket, callback = std::move(callback)]() mutable {
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
        std::visit([this](const auto& action) { execute(action); }, it);
    }
}

void claim_driver::execute(const read_claim_object& action)
{
    context_.counters.add("claim_reads_total");
    context_.platform.get(action.object, [this, name = action.object](const result<platform_object>& answer) {
        carry_out(journal_.on_read(now(), name, answer));
    });
}

void claim_driver::execute(const write_claim_object& action)
{
    context_.counters.add("claim_writes_total");
    context_.platform.put(action.object, action.value, action.if_version,
                          [this, name = action.object](const result<std::uint64_t>& answer) {
                              if (!answer) {
                                  context_.counters.add(fmt::format("claim_write_failures_total{{kind=\"{}\"}}",
                                                                    to_string(answer.error().kind)));
                              }
                              carry_out(journal_.on_written(now(), name, answer));
                          });
}

void claim_driver::execute(const answer_claim& action)
{
    const auto it = claims_.find(action.ticket);
    if (it == claims_.end()) {
        return;
    }
    const auto callback = std::move(it->second);
    claims_.erase(it);
    context_.counters.add(fmt::format("claims_total{{verdict=\"{}\"}}", verdict_label(action.result)));
    callback(action.result);
}

void claim_driver::execute(const answer_withdrawal& action)
{
    const auto it = withdrawals_.find(action.ticket);
    if (it == withdrawals_.end()) {
        return;
    }
    const auto callback = std::move(it->second);
    withdrawals_.erase(it);
    context_.counters.add(action.result ? "claim_withdrawals_total" : "claim_withdrawals_unconfirmed_total");
    callback(action.result);
}

void claim_driver::execute(const schedule_claim_timer& action)
{
    if (action.at >= next_timer_at_) {
        return;
    }
    next_timer_at_ = action.at;
    const auto wait = std::chrono::ceil<milliseconds>(action.at - context_.pool.timers().now());
    context_.pool.timers().after(std::max(wait, milliseconds(0)), [this, at = action.at] {
        context_.sequence->post([this, at] {
            if (next_timer_at_ == at) {
                next_timer_at_ = instant::max();
            }
            carry_out(journal_.on_timer(now()));
        });
    });
}

} // namespace anvillead
