#include "claims/claim_journal.h"

#include <algorithm>

namespace anvillead {

claim_journal::claim_journal(claim_limits limits, std::function<std::string()> new_nonce)
    : limits_(limits), new_nonce_(std::move(new_nonce))
{}

result<claim_journal::operation> claim_journal::make_operation(claim_time time, kind what, claim_ticket ticket,
                                                               claim_request request)
{
    const auto key = parse_idempotency_key(request.key);
    if (!key) {
        return key.error();
    }
    const auto age = check_key_age(key.value().stamp, time.wall, limits_.keys);
    if (!age) {
        return age.error();
    }
    if (operations_.size() >= limits_.queue) {
        auto reason = make_error(error_kind::overloaded, "too many claims are waiting");
        // Without a look at the claim object an earlier arrival of the key cannot be ruled out.
        reason.outcome = run_outcome::may_have_run;
        reason.retry_after = limits_.retry_after;
        return reason;
    }
    operation out;
    out.what = what;
    out.ticket = ticket;
    out.stamp = key.value().stamp;
    out.identity = claim_identity(request.organisation, key.value());
    out.object = claim_object_name(out.identity, out.stamp);
    out.request = std::move(request);
    return out;
}

claim_actions claim_journal::claim(claim_time time, claim_ticket ticket, claim_request request)
{
    auto made = make_operation(time, kind::claim, ticket, std::move(request));
    if (!made) {
        return {answer_claim{ticket, {claim_result::verdict::refused, ticket, {}, made.error()}}};
    }
    auto& op = made.value();
    op.nonce = new_nonce_();
    const auto object = op.object;
    held_claim held{0, op};
    held.pending = enqueue(time, std::move(op), limits_.claim_timeout);
    held_.emplace(ticket, std::move(held));
    claim_actions actions;
    if (!buckets_[object].queued) {
        pump(time, object, actions);
    }
    return finish(std::move(actions));
}

claim_actions claim_journal::look_up(claim_time time, claim_ticket ticket, claim_request request)
{
    auto made = make_operation(time, kind::look_up, ticket, std::move(request));
    if (!made) {
        return {answer_claim{ticket, {claim_result::verdict::refused, ticket, {}, made.error()}}};
    }
    const auto object = made.value().object;
    enqueue(time, std::move(made.value()), limits_.claim_timeout);
    claim_actions actions;
    pump(time, object, actions);
    return finish(std::move(actions));
}

claim_actions claim_journal::complete(claim_time time, claim_ticket ticket, stored_answer answer)
{
    const auto it = held_.find(ticket);
    if (it == held_.end()) {
        return {};
    }
    auto op = it->second.origin;
    held_.erase(it);
    if (operations_.size() >= limits_.queue) {
        return {};
    }
    op.what = kind::answer;
    op.answer = std::move(answer);
    op.answered = true;
    const auto object = op.object;
    enqueue(time, std::move(op), limits_.cleanup_timeout);
    claim_actions actions;
    pump(time, object, actions);
    return finish(std::move(actions));
}

void claim_journal::release(claim_ticket ticket)
{
    held_.erase(ticket);
}

claim_actions claim_journal::withdraw(claim_time time, claim_ticket ticket)
{
    const auto it = held_.find(ticket);
    if (it == held_.end()) {
        return {answer_withdrawal{ticket, make_error(error_kind::internal, "the claim is not held")}};
    }
    const auto pending = it->second.pending;
    claim_actions actions;
    std::string object = it->second.origin.object;
    if (pending == 0) {
        auto op = it->second.origin;
        op.what = kind::withdraw;
        enqueue(time, std::move(op), limits_.withdraw_timeout);
    } else {
        auto& op = operations_.at(pending);
        if (!op.in_flight && !op.uncertain) {
            result<void> answer = success();
            if (!op.seen_free) {
                answer = make_error(error_kind::platform_unavailable, "the claim object could not be read");
                answer.error().outcome = run_outcome::may_have_run;
            }
            actions.emplace_back(answer_withdrawal{ticket, answer});
            erase(pending);
        } else {
            op.what = kind::withdraw;
            set_deadline(pending, op, time.now + limits_.withdraw_timeout);
        }
    }
    held_.erase(ticket);
    pump(time, object, actions);
    return finish(std::move(actions));
}

claim_journal::operation_id claim_journal::enqueue(claim_time time, operation value, milliseconds timeout)
{
    const auto id = ++order_;
    value.arrived = id;
    if (buckets_.size() >= limits_.cached_objects) {
        drop_idle_buckets();
    }
    auto& target = buckets_[value.object];
    if (target.waiting.empty()) {
        target.due = time.now + limits_.group_window;
    }
    target.waiting.push_back(id);
    auto& op = operations_.emplace(id, std::move(value)).first->second;
    set_deadline(id, op, time.now + timeout);
    return id;
}

void claim_journal::pump(claim_time time, const std::string& object, claim_actions& actions)
{
    auto& target = buckets_[object];
    if (target.busy || target.waiting.empty()) {
        return;
    }
    if (time.now < target.retry_at) {
        wakes_.emplace(target.retry_at, object);
        return;
    }
    if (!target.known) {
        // The read overlaps with the group window.
        read(time, object, target, actions);
        return;
    }
    if (time.now < target.due) {
        wakes_.emplace(target.due, object);
        return;
    }
    target.proposed = target.content;
    bool needs_read = false;
    std::vector<operation_id> batch;
    std::deque<operation_id> kept;
    for (const auto id : std::exchange(target.waiting, {})) {
        const auto it = operations_.find(id);
        if (it == operations_.end()) {
            continue;
        }
        const auto next = batch.size() < limits_.batch ? resolve(time, it->second, target, actions) : step::deferred;
        needs_read = needs_read || next == step::needs_read;
        if (next == step::written) {
            batch.push_back(id);
        } else if (next == step::finished) {
            erase(id);
        } else {
            kept.push_back(id);
        }
    }
    target.waiting = std::move(kept);
    if (!batch.empty() && permit(time, object, target)) {
        if (!target.contended || time.now - target.fresh_at <= limits_.contended_age) {
            write(object, target, std::move(batch), actions);
            return;
        }
        // Another gateway has probably written since; a read costs less than a conflict.
        needs_read = true;
    }
    target.waiting.insert(target.waiting.begin(), batch.begin(), batch.end());
    if (needs_read) {
        read(time, object, target, actions);
    }
}

void claim_journal::read(claim_time time, const std::string& object, bucket& target, claim_actions& actions)
{
    const auto interval = interval_of(limits_.reads_per_second);
    const auto allowed_at = reads_full_at_ - interval * (limits_.read_burst - 1);
    if (time.now < allowed_at) {
        wakes_.emplace(allowed_at, object);
        return;
    }
    reads_full_at_ = std::max(reads_full_at_, time.now) + interval;
    target.busy = true;
    target.call = ++order_;
    actions.emplace_back(read_claims{object});
}

void claim_journal::write(const std::string& object, bucket& target, std::vector<operation_id> batch,
                          claim_actions& actions)
{
    target.busy = true;
    target.permitted = false;
    target.call = ++order_;
    for (const auto id : batch) {
        auto& op = operations_.at(id);
        op.in_flight = op.what;
    }
    target.in_flight = std::move(batch);
    actions.emplace_back(write_claims{object, target.proposed.to_json(), target.version});
}

claim_actions claim_journal::on_read(claim_time time, const std::string& object, const result<platform_object>& answer)
{
    claim_actions actions;
    auto& target = buckets_[object];
    target.busy = false;
    const bool absent = !answer && answer.error().kind == error_kind::not_found;
    auto content = answer ? claim_bucket::parse(answer.value().value) : result<claim_bucket>(claim_bucket());
    if ((!answer && !absent) || !content) {
        failed_call(time, object, target, actions);
        return finish(std::move(actions));
    }
    failures_ = 0;
    target.known = true;
    target.fresh = target.call;
    target.fresh_at = time.now;
    target.version = answer ? answer.value().version : 0;
    target.content = std::move(content.value());
    if (target.uncertain && *target.uncertain != target.version) {
        target.uncertain.reset();
    }
    for (const auto id : target.waiting) {
        const auto it = operations_.find(id);
        if (it != operations_.end() && !target.uncertain &&
            !target.content.has(it->second.identity, it->second.nonce)) {
            it->second.uncertain = false;
        }
    }
    pump(time, object, actions);
    return finish(std::move(actions));
}

claim_actions claim_journal::on_written(claim_time time, const std::string& object, const result<std::uint64_t>& answer)
{
    claim_actions actions;
    auto& target = buckets_[object];
    target.busy = false;
    if (answer) {
        failures_ = 0;
        target.version = answer.value();
        target.content = std::move(target.proposed);
        target.fresh = target.call;
        target.fresh_at = time.now;
        target.uncertain.reset();
        for (const auto id : std::exchange(target.in_flight, {})) {
            confirm(time, id, target, actions);
        }
        pump(time, object, actions);
        return finish(std::move(actions));
    }
    target.known = false;
    if (answer.error().kind == error_kind::conflict) {
        failures_ = 0;
        target.contended = true;
        return_batch(target);
        pump(time, object, actions);
        return finish(std::move(actions));
    }
    if (answer.error().outcome != run_outcome::not_run) {
        target.uncertain = target.version;
        for (const auto id : target.in_flight) {
            const auto it = operations_.find(id);
            if (it != operations_.end()) {
                it->second.uncertain = true;
            }
        }
    }
    return_batch(target);
    failed_call(time, object, target, actions);
    return finish(std::move(actions));
}

void claim_journal::confirm(claim_time time, operation_id id, bucket& target, claim_actions& actions)
{
    const auto it = operations_.find(id);
    if (it == operations_.end()) {
        return;
    }
    auto& op = it->second;
    const auto written = std::exchange(op.in_flight, std::nullopt);
    if (written == kind::claim && op.what == kind::withdraw) {
        op.uncertain = false;
        target.waiting.push_front(id);
        return;
    }
    if (op.what == kind::claim) {
        // Claims are deleted after the retention period. When the write took that long, for example because this
        // process was paused, an earlier claim of the key may have been deleted before it.
        const auto age = check_key_age(op.stamp, time.wall, limits_.keys);
        if (age) {
            accept(op, actions);
        } else {
            refuse(op, age.error(), actions);
        }
    } else if (op.what == kind::withdraw) {
        finish_withdrawal(op, success(), actions);
    }
    erase(id);
}

void claim_journal::return_batch(bucket& target)
{
    const auto batch = std::exchange(target.in_flight, {});
    for (const auto id : batch) {
        const auto it = operations_.find(id);
        if (it != operations_.end()) {
            it->second.in_flight.reset();
        }
    }
    target.waiting.insert(target.waiting.begin(), batch.begin(), batch.end());
}

void claim_journal::failed_call(claim_time time, const std::string& object, bucket& target, claim_actions& actions)
{
    target.known = false;
    target.retry_at = time.now + limits_.retry_backoff;
    ++failures_;
    if (failures_ >= limits_.failures_until_down) {
        const auto waiting = target.waiting;
        for (const auto id : waiting) {
            const auto it = operations_.find(id);
            if (it != operations_.end() && (it->second.what == kind::claim || it->second.what == kind::look_up)) {
                give_up(time, id, actions);
            }
        }
    }
    wakes_.emplace(target.retry_at, object);
}

void claim_journal::give_up(claim_time time, operation_id id, claim_actions& actions)
{
    const auto it = operations_.find(id);
    if (it == operations_.end()) {
        return;
    }
    auto& op = it->second;
    if (op.what == kind::claim || op.what == kind::look_up) {
        auto reason = failures_ > 0
                          ? make_error(error_kind::platform_unavailable, "the platform does not answer")
                          : make_error(error_kind::overloaded, "the claim could not be written within its time");
        reason.retry_after = limits_.retry_after;
        const bool may_stand = op.in_flight || op.uncertain;
        op.uncertain = may_stand;
        refuse(op, std::move(reason), actions);
        if (!may_stand) {
            erase(id);
            return;
        }
        // Nothing was dispatched, so the claim is taken back as soon as the platform answers again.
        op.what = kind::withdraw;
        op.answered = true;
        set_deadline(id, op, time.now + limits_.cleanup_timeout);
        return;
    }
    if (op.what == kind::withdraw && !op.answered) {
        auto reason = make_error(error_kind::platform_unavailable, "the withdrawal is not confirmed");
        reason.outcome = run_outcome::may_have_run;
        finish_withdrawal(op, std::move(reason), actions);
        op.answered = true;
        set_deadline(id, op, time.now + limits_.cleanup_timeout);
        return;
    }
    erase(id);
}

claim_actions claim_journal::on_timer(claim_time time)
{
    claim_actions actions;
    while (!deadlines_.empty() && deadlines_.begin()->first <= time.now) {
        give_up(time, deadlines_.begin()->second, actions);
    }
    while (!wakes_.empty() && wakes_.begin()->first <= time.now) {
        const auto object = wakes_.begin()->second;
        wakes_.erase(wakes_.begin());
        pump(time, object, actions);
    }
    serving_turn_ = true;
    while (!turns_.empty() && time.now >= writes_allowed_at()) {
        const auto object = std::move(turns_.front());
        turns_.pop_front();
        buckets_[object].queued = false;
        pump(time, object, actions);
    }
    serving_turn_ = false;
    return finish(std::move(actions));
}

void claim_journal::set_deadline(operation_id id, operation& op, instant at)
{
    deadlines_.erase({op.deadline, id});
    op.deadline = at;
    deadlines_.emplace(at, id);
}

void claim_journal::erase(operation_id id)
{
    const auto it = operations_.find(id);
    if (it == operations_.end()) {
        return;
    }
    deadlines_.erase({it->second.deadline, id});
    operations_.erase(it);
}

void claim_journal::drop_idle_buckets()
{
    for (auto it = buckets_.begin(); it != buckets_.end();) {
        const bool idle = !it->second.busy && it->second.waiting.empty();
        it = idle ? buckets_.erase(it) : std::next(it);
    }
}

claim_actions claim_journal::finish(claim_actions actions) const
{
    instant next = instant::max();
    if (!deadlines_.empty()) {
        next = deadlines_.begin()->first;
    }
    if (!wakes_.empty()) {
        next = std::min(next, wakes_.begin()->first);
    }
    if (!turns_.empty()) {
        next = std::min(next, writes_allowed_at());
    }
    if (next != instant::max()) {
        actions.emplace_back(wake_journal{next});
    }
    return actions;
}

} // namespace anvillead
