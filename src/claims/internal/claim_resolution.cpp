#include "claims/claim_journal.h"

// How claim_journal decides each operation of a batch against the contents of its claim object.

namespace anvillead {

claim_journal::step claim_journal::resolve(claim_time time, operation& op, bucket& target, claim_actions& actions)
{
    switch (op.what) {
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

claim_journal::step claim_journal::resolve_claim(claim_time time, operation& op, bucket& target, claim_actions& actions)
{
    const bool fresh = target.fresh > op.arrived;
    const auto* stands = target.content.find(op.identity);
    const auto* proposed = target.proposed.find(op.identity);
    const bool changing = (stands == nullptr) != (proposed == nullptr);
    if (changing) {
        // An operation of this batch claims or withdraws the key; its result decides.
        return step::deferred;
    }
    if (stands == nullptr) {
        op.seen_free = op.seen_free || fresh;
        if (op.what == kind::look_up) {
            if (!fresh) {
                return step::needs_read;
            }
            actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::free, op.ticket, {}, {}}});
            return step::finished;
        }
        const auto age = check_key_age(op.stamp, time.wall, limits_.keys);
        if (!age) {
            refuse(op, age.error(), actions);
            return step::finished;
        }
        target.proposed.insert(op.identity, {op.nonce, op.request.body_hash, {op.request.record, std::nullopt}});
        if (target.proposed.bytes() <= limits_.object_bytes) {
            return step::written;
        }
        target.proposed.erase(op.identity);
        if (!fresh) {
            return step::needs_read;
        }
        auto reason = make_error(error_kind::overloaded, "the claim object is full");
        reason.retry_after = limits_.retry_after;
        refuse(op, std::move(reason), actions);
        return step::finished;
    }
    // A cached entry may have been withdrawn since by another gateway.
    if (!fresh) {
        return step::needs_read;
    }
    if (!op.nonce.empty() && stands->nonce == op.nonce) {
        accept(op, actions);
        return step::finished;
    }
    op.seen_free = false;
    if (stands->body_hash != op.request.body_hash) {
        refuse(op, make_error(error_kind::key_conflict, "the key was used for a different request"), actions);
        return step::finished;
    }
    held_.erase(op.ticket);
    actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::taken, op.ticket, stands->found, {}}});
    return step::finished;
}

claim_journal::step claim_journal::resolve_withdrawal(operation& op, bucket& target, claim_actions& actions)
{
    const auto* stands = target.content.find(op.identity);
    if (target.content.has(op.identity, op.nonce)) {
        target.proposed.erase(op.identity);
        return step::written;
    }
    if (target.fresh <= op.arrived) {
        return step::needs_read;
    }
    if (stands != nullptr) {
        finish_withdrawal(op, make_error(error_kind::run_elsewhere, "another arrival claimed the key"), actions);
        return step::finished;
    }
    if (target.uncertain) {
        // The lost write can still take effect until another write has replaced the version that it expects.
        return step::written;
    }
    finish_withdrawal(op, success(), actions);
    return step::finished;
}

claim_journal::step claim_journal::resolve_answer(operation& op, bucket& target)
{
    auto proposed = target.proposed;
    if (!proposed.set_answer(op.identity, op.nonce, op.answer)) {
        return target.fresh > op.arrived ? step::finished : step::needs_read;
    }
    if (proposed.bytes() > limits_.answers_bytes) {
        return step::finished;
    }
    target.proposed = std::move(proposed);
    return step::written;
}

void claim_journal::accept(operation& op, claim_actions& actions)
{
    const auto it = held_.find(op.ticket);
    if (it != held_.end()) {
        it->second.pending = 0;
    }
    actions.emplace_back(answer_claim{op.ticket, {claim_result::verdict::claimed, op.ticket, {}, {}}});
}

void claim_journal::refuse(const operation& op, error reason, claim_actions& actions)
{
    held_.erase(op.ticket);
    if (reason.outcome == run_outcome::not_run && (!op.seen_free || op.uncertain)) {
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
