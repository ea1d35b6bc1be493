#include "claims/claim_journal.h"

#include <algorithm>

namespace anvillead {

claim_journal::claim_journal(claim_limits limits, std::function<std::string()> new_nonce)
    : limits_(limits), new_nonce_(std::move(new_nonce))
{}

result<claim_journal::operation> claim_journal::make_operation(claim_time time, kind type, claim_ticket ticket,
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
        // The claim object was not read, so an earlier request with this key cannot be ruled out.
        reason.outcome = run_outcome::may_have_run;
        reason.retry_after = limits_.retry_after;
        return reason;
    }
    operation out;
    out.type = type;
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
    held.pending_operation = enqueue(time, std::move(op), limits_.claim_timeout);
    held_.emplace(ticket, std::move(held));
    claim_actions actions;
    if (!object_states_[object].in_write_queue) {
        process_waiting(time, object, actions);
    }
    return append_timer(std::move(actions));
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
    process_waiting(time, object, actions);
    return append_timer(std::move(actions));
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
    op.type = kind::answer;
    op.answer = std::move(answer);
    op.answered = true;
    const auto object = op.object;
    enqueue(time, std::move(op), limits_.cleanup_timeout);
    claim_actions actions;
    process_waiting(time, object, actions);
    return append_timer(std::move(actions));
}

void claim_journal::release(claim_ticket ticket)
{
    held_.erase(ticket);
}

claim_actions claim_journal::withdraw(claim_time time, claim_ticket ticket)
{
    const auto it = held_.find(ticket);
    if (it == held_.end()) {
        return {answer_withdrawal{ticket, make_error(error_kind::internal, "the claim is not held by this process")}};
    }
    const auto pending_operation = it->second.pending_operation;
    claim_actions actions;
    std::string object = it->second.origin.object;
    if (pending_operation == 0) {
        auto op = it->second.origin;
        op.type = kind::withdraw;
        enqueue(time, std::move(op), limits_.withdrawal_timeout);
    } else {
        auto& op = operations_.at(pending_operation);
        if (!op.in_flight && !op.uncertain) {
            result<void> answer = success();
            if (!op.confirmed_unclaimed) {
                answer = make_error(error_kind::platform_unavailable, "the claim object could not be read");
                answer.error().outcome = run_outcome::may_have_run;
            }
            actions.emplace_back(answer_withdrawal{ticket, answer});
            erase(pending_operation);
        } else {
            op.type = kind::withdraw;
            set_deadline(pending_operation, op, time.now + limits_.withdrawal_timeout);
        }
    }
    held_.erase(ticket);
    process_waiting(time, object, actions);
    return append_timer(std::move(actions));
}

claim_journal::operation_id claim_journal::enqueue(claim_time time, operation value, milliseconds timeout)
{
    const auto id = ++last_order_;
    value.arrival_order = id;
    if (object_states_.size() >= limits_.max_cached_objects) {
        evict_idle_objects();
    }
    auto& target = object_states_[value.object];
    if (target.waiting.empty()) {
        target.group_window_end = time.now + limits_.group_window;
    }
    target.waiting.push_back(id);
    auto& op = operations_.emplace(id, std::move(value)).first->second;
    set_deadline(id, op, time.now + timeout);
    return id;
}

void claim_journal::process_waiting(claim_time time, const std::string& object, claim_actions& actions)
{
    auto& target = object_states_[object];
    if (target.busy || target.waiting.empty()) {
        return;
    }
    if (time.now < target.retry_at) {
        object_timers_.emplace(target.retry_at, object);
        return;
    }
    if (!target.content_valid) {
        // Read during the group window to save time.
        read(time, object, target, actions);
        return;
    }
    if (time.now < target.group_window_end) {
        object_timers_.emplace(target.group_window_end, object);
        return;
    }
    target.proposed = target.content;
    bool needs_read = false;
    std::vector<operation_id> batch;
    std::deque<operation_id> remaining;
    for (const auto id : std::exchange(target.waiting, {})) {
        const auto it = operations_.find(id);
        if (it == operations_.end()) {
            continue;
        }
        const auto next =
            batch.size() < limits_.batch ? resolve(time, it->second, target, actions) : resolve_result::deferred;
        needs_read = needs_read || next == resolve_result::needs_read;
        if (next == resolve_result::to_write) {
            batch.push_back(id);
        } else if (next == resolve_result::finished) {
            erase(id);
        } else {
            remaining.push_back(id);
        }
    }
    target.waiting = std::move(remaining);
    if (!batch.empty() && acquire_write_permit(time, object, target)) {
        if (!target.contended || time.now - target.content_time <= limits_.contended_max_age) {
            write(object, target, std::move(batch), actions);
            return;
        }
        // Another gateway has probably written the object in the meantime; a read is cheaper than a conflict.
        needs_read = true;
    }
    target.waiting.insert(target.waiting.begin(), batch.begin(), batch.end());
    if (needs_read) {
        read(time, object, target, actions);
    }
}

void claim_journal::read(claim_time time, const std::string& object, object_state& target, claim_actions& actions)
{
    const auto interval = call_interval(limits_.reads_per_second);
    const auto allowed_at = read_tokens_full_at_ - interval * (limits_.read_burst - 1);
    if (time.now < allowed_at) {
        object_timers_.emplace(allowed_at, object);
        return;
    }
    read_tokens_full_at_ = std::max(read_tokens_full_at_, time.now) + interval;
    target.busy = true;
    target.call_order = ++last_order_;
    actions.emplace_back(read_claim_object{object});
}

void claim_journal::write(const std::string& object, object_state& target, std::vector<operation_id> batch,
                          claim_actions& actions)
{
    target.busy = true;
    target.has_write_permit = false;
    target.call_order = ++last_order_;
    for (const auto id : batch) {
        auto& op = operations_.at(id);
        op.in_flight = op.type;
    }
    target.in_flight = std::move(batch);
    actions.emplace_back(write_claim_object{object, target.proposed.to_json(), target.version});
}

claim_actions claim_journal::on_read(claim_time time, const std::string& object, const result<platform_object>& answer)
{
    claim_actions actions;
    auto& target = object_states_[object];
    target.busy = false;
    const bool absent = !answer && answer.error().kind == error_kind::not_found;
    auto content = answer ? claim_bucket::parse(answer.value().value) : result<claim_bucket>(claim_bucket());
    if ((!answer && !absent) || !content) {
        handle_call_failure(time, object, target, actions);
        return append_timer(std::move(actions));
    }
    consecutive_failures_ = 0;
    target.content_valid = true;
    target.content_order = target.call_order;
    target.content_time = time.now;
    target.version = answer ? answer.value().version : 0;
    target.content = std::move(content.value());
    if (target.uncertain_version && *target.uncertain_version != target.version) {
        target.uncertain_version.reset();
    }
    for (const auto id : target.waiting) {
        const auto it = operations_.find(id);
        if (it != operations_.end() && !target.uncertain_version &&
            !target.content.has(it->second.identity, it->second.nonce)) {
            it->second.uncertain = false;
        }
    }
    process_waiting(time, object, actions);
    return append_timer(std::move(actions));
}

claim_actions claim_journal::on_written(claim_time time, const std::string& object, const result<std::uint64_t>& answer)
{
    claim_actions actions;
    auto& target = object_states_[object];
    target.busy = false;
    if (answer) {
        consecutive_failures_ = 0;
        target.version = answer.value();
        target.content = std::move(target.proposed);
        target.content_order = target.call_order;
        target.content_time = time.now;
        target.uncertain_version.reset();
        for (const auto id : std::exchange(target.in_flight, {})) {
            on_operation_written(time, id, target, actions);
        }
        process_waiting(time, object, actions);
        return append_timer(std::move(actions));
    }
    target.content_valid = false;
    if (answer.error().kind == error_kind::conflict) {
        consecutive_failures_ = 0;
        target.contended = true;
        requeue_batch(target);
        process_waiting(time, object, actions);
        return append_timer(std::move(actions));
    }
    if (answer.error().outcome != run_outcome::not_run) {
        target.uncertain_version = target.version;
        for (const auto id : target.in_flight) {
            const auto it = operations_.find(id);
            if (it != operations_.end()) {
                it->second.uncertain = true;
            }
        }
    }
    requeue_batch(target);
    handle_call_failure(time, object, target, actions);
    return append_timer(std::move(actions));
}

void claim_journal::on_operation_written(claim_time time, operation_id id, object_state& target, claim_actions& actions)
{
    const auto it = operations_.find(id);
    if (it == operations_.end()) {
        return;
    }
    auto& op = it->second;
    const auto written = std::exchange(op.in_flight, std::nullopt);
    if (written == kind::claim && op.type == kind::withdraw) {
        op.uncertain = false;
        target.waiting.push_front(id);
        return;
    }
    if (op.type == kind::claim) {
        // Claims are deleted after the retention period. If the write took that long, for example because this process
        // was paused, an earlier claim of the key may have been deleted before it.
        const auto age = check_key_age(op.stamp, time.wall, limits_.keys);
        if (age) {
            accept(op, actions);
        } else {
            refuse(op, age.error(), actions);
        }
    } else if (op.type == kind::withdraw) {
        finish_withdrawal(op, success(), actions);
    }
    erase(id);
}

void claim_journal::requeue_batch(object_state& target)
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

void claim_journal::handle_call_failure(claim_time time, const std::string& object, object_state& target,
                                        claim_actions& actions)
{
    target.content_valid = false;
    target.retry_at = time.now + limits_.retry_backoff;
    ++consecutive_failures_;
    if (consecutive_failures_ >= limits_.failures_until_unavailable) {
        const auto waiting = target.waiting;
        for (const auto id : waiting) {
            const auto it = operations_.find(id);
            if (it != operations_.end() && (it->second.type == kind::claim || it->second.type == kind::look_up)) {
                fail_operation(time, id, actions);
            }
        }
    }
    object_timers_.emplace(target.retry_at, object);
}

void claim_journal::fail_operation(claim_time time, operation_id id, claim_actions& actions)
{
    const auto it = operations_.find(id);
    if (it == operations_.end()) {
        return;
    }
    auto& op = it->second;
    if (op.type == kind::claim || op.type == kind::look_up) {
        auto reason = consecutive_failures_ > 0
                          ? make_error(error_kind::platform_unavailable, "the platform does not answer")
                          : make_error(error_kind::overloaded, "the claim was not written within the claim timeout");
        reason.retry_after = limits_.retry_after;
        const bool may_be_stored = op.in_flight || op.uncertain;
        op.uncertain = may_be_stored;
        refuse(op, std::move(reason), actions);
        if (!may_be_stored) {
            erase(id);
            return;
        }
        // Nothing was dispatched, so the claim is withdrawn as soon as the platform responds again.
        op.type = kind::withdraw;
        op.answered = true;
        set_deadline(id, op, time.now + limits_.cleanup_timeout);
        return;
    }
    if (op.type == kind::withdraw && !op.answered) {
        auto reason = make_error(error_kind::platform_unavailable, "the withdrawal was not confirmed in time");
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
        fail_operation(time, deadlines_.begin()->second, actions);
    }
    while (!object_timers_.empty() && object_timers_.begin()->first <= time.now) {
        const auto object = object_timers_.begin()->second;
        object_timers_.erase(object_timers_.begin());
        process_waiting(time, object, actions);
    }
    serving_write_queue_ = true;
    while (!write_queue_.empty() && time.now >= writes_allowed_at()) {
        const auto object = std::move(write_queue_.front());
        write_queue_.pop_front();
        object_states_[object].in_write_queue = false;
        process_waiting(time, object, actions);
    }
    serving_write_queue_ = false;
    return append_timer(std::move(actions));
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

void claim_journal::evict_idle_objects()
{
    for (auto it = object_states_.begin(); it != object_states_.end();) {
        const bool idle = !it->second.busy && it->second.waiting.empty();
        it = idle ? object_states_.erase(it) : std::next(it);
    }
}

claim_actions claim_journal::append_timer(claim_actions actions) const
{
    instant next = instant::max();
    if (!deadlines_.empty()) {
        next = deadlines_.begin()->first;
    }
    if (!object_timers_.empty()) {
        next = std::min(next, object_timers_.begin()->first);
    }
    if (!write_queue_.empty()) {
        next = std::min(next, writes_allowed_at());
    }
    if (next != instant::max()) {
        actions.emplace_back(schedule_claim_timer{next});
    }
    return actions;
}

} // namespace anvillead
