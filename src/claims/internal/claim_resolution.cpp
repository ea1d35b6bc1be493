#include "claims/claim_journal.h"

// Resolves the operations of a claim_journal batch against the content of their claim object.

namespace anvillead {

claim_journal::resolve_result claim_journal::resolve(claim_time time, operation& op, object_state& target,
                                                     claim_actions& actions)
{
    switch (op.type) {
    case kind::claim:
    case kind::look_up:
        return resolve_claim(time, op, target, actions);
    case kind::withdraw:
        return resolve_withdrawal(op, target, actions);
    case kind::answer:
        break;
    }
    return resolve_answer(op, target);
}

claim_journal::resolve_result claim_journal::resolve_claim(claim_time time, operation& op, object_state& target,
                                                           claim_actions& actions)
{
    const bool fresh = target.content_order > op.arrival_order;
    const auto* stored = target.content.find(op.identity);
    const auto* proposed = target.proposed.find(op.identity);
    const bool changing = (stored == nullptr) != (proposed == nullptr);
    if (changing) {
        // Another operation of this batch claims or withdraws the key. This one is resolved after that write.
        return resolve_result::deferred;
    }
    if (stored == nullptr) {
        op.confirmed_unclaimed = op.confirmed_unclaimed || fresh;
        if (op.type == kind::look_up) {
            if (!fresh) {
                return resolve_result::needs_read;
            }
            actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::free, op.ticket, {}, {}}});
            return resolve_result::finished;
        }
        const auto age = check_key_age(op.stamp, time.wall, limits_.keys);
        if (!age) {
            refuse(op, age.error(), actions);
            return resolve_result::finished;
        }
        target.proposed.insert(op.identity, {op.nonce, op.request.body_hash, {op.request.record, std::nullopt}});
        if (target.proposed.bytes() <= limits_.max_object_bytes) {
            return resolve_result::to_write;
        }
        target.proposed.erase(op.identity);
        if (!fresh) {
            return resolve_result::needs_read;
        }
        auto reason = make_error(error_kind::overloaded, "the claim object is full");
        reason.retry_after = limits_.retry_after;
        refuse(op, std::move(reason), actions);
        return resolve_result::finished;
    }
    // Another gateway may have withdrawn the cached entry since it was read.
    if (!fresh) {
        return resolve_result::needs_read;
    }
    if (!op.nonce.empty() && stored->nonce == op.nonce) {
        accept(op, actions);
        return resolve_result::finished;
    }
    op.confirmed_unclaimed = false;
    if (stored->body_hash != op.request.body_hash) {
        refuse(op, make_error(error_kind::key_conflict, "the key was used for a different request"), actions);
        return resolve_result::finished;
    }
    held_.erase(op.ticket);
    actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::taken, op.ticket, stored->record, {}}});
    return resolve_result::finished;
}

claim_journal::resolve_result claim_journal::resolve_withdrawal(operation& op, object_state& target,
                                                                claim_actions& actions)
{
    const auto* stored = target.content.find(op.identity);
    if (target.content.has(op.identity, op.nonce)) {
        target.proposed.erase(op.identity);
        return resolve_result::to_write;
    }
    if (target.content_order <= op.arrival_order) {
        return resolve_result::needs_read;
    }
    if (stored != nullptr) {
        finish_withdrawal(op, make_error(error_kind::run_elsewhere, "another request claimed the key"), actions);
        return resolve_result::finished;
    }
    if (target.uncertain_version) {
        // A write without a response can still take effect until another write has replaced the version that it
        // expects.
        return resolve_result::to_write;
    }
    finish_withdrawal(op, success(), actions);
    return resolve_result::finished;
}

claim_journal::resolve_result claim_journal::resolve_answer(operation& op, object_state& target)
{
    auto proposed = target.proposed;
    if (!proposed.set_answer(op.identity, op.nonce, op.answer)) {
        return target.content_order > op.arrival_order ? resolve_result::finished : resolve_result::needs_read;
    }
    if (proposed.bytes() > limits_.max_bytes_with_answers) {
        return resolve_result::finished;
    }
    target.proposed = std::move(proposed);
    return resolve_result::to_write;
}

void claim_journal::accept(operation& op, claim_actions& actions)
{
    const auto it = held_.find(op.ticket);
    if (it != held_.end()) {
        it->second.pending_operation = 0;
    }
    actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::claimed, op.ticket, {}, {}}});
}

void claim_journal::refuse(const operation& op, error reason, claim_actions& actions)
{
    held_.erase(op.ticket);
    if (reason.outcome == run_outcome::not_run && (!op.confirmed_unclaimed || op.uncertain)) {
        reason.outcome = run_outcome::may_have_run;
    }
    actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::refused, op.ticket, {}, std::move(reason)}});
}

void claim_journal::finish_withdrawal(const operation& op, result<void> answer, claim_actions& actions)
{
    if (!op.answered) {
        actions.emplace_back(answer_withdrawal{op.ticket, std::move(answer)});
    }
}

} // namespace anvillead
