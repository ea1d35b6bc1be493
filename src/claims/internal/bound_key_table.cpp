#include "claims/bound_key_table.h"

#include <algorithm>

namespace anvillead {

result<idempotency_key> bound_key_table::check(wall_time now, const claim_request& request)
{
    latest_time_ = std::max(latest_time_, now);
    while (!entries_by_time_.empty() && entries_by_time_.begin()->first < latest_time_ - limits_.keys.retention) {
        entries_.erase(entries_by_time_.begin()->second);
        entries_by_time_.erase(entries_by_time_.begin());
    }
    auto key = parse_idempotency_key(request.key);
    if (!key) {
        return key;
    }
    const auto age = check_key_age(key.value().stamp, latest_time_, limits_.keys);
    if (!age) {
        return age.error();
    }
    return key;
}

claim_result bound_key_table::look_up(wall_time now, claim_ticket ticket, const claim_request& request)
{
    const auto key = check(now, request);
    if (!key) {
        return {claim_result::verdict::refused, ticket, {}, key.error()};
    }
    const auto it = entries_.find(claim_identity(request.organisation, key.value()));
    if (it == entries_.end()) {
        return {claim_result::verdict::free, ticket, {}, {}};
    }
    if (it->second.body_hash != request.body_hash) {
        return {claim_result::verdict::refused,
                ticket,
                {},
                make_error(error_kind::key_conflict, "the key was used for a different request")};
    }
    return {claim_result::verdict::taken, ticket, it->second.record, {}};
}

claim_result bound_key_table::claim(wall_time now, claim_ticket ticket, const claim_request& request)
{
    auto out = look_up(now, ticket, request);
    if (out.value != claim_result::verdict::free) {
        return out;
    }
    if (entries_.size() >= limits_.entries) {
        auto reason = make_error(error_kind::overloaded, "the table of bound keys is full");
        reason.retry_after = limits_.retry_after;
        return {claim_result::verdict::refused, ticket, {}, reason};
    }
    const auto key = parse_idempotency_key(request.key);
    const auto identity = claim_identity(request.organisation, key.value());
    entries_[identity] = {request.body_hash, {request.record, std::nullopt}, key.value().stamp};
    entries_by_time_.emplace(key.value().stamp, identity);
    held_[ticket] = identity;
    out.value = claim_result::verdict::claimed;
    return out;
}

void bound_key_table::complete(claim_ticket ticket, stored_answer answer)
{
    const auto held = held_.find(ticket);
    if (held == held_.end()) {
        return;
    }
    const auto it = entries_.find(held->second);
    if (it != entries_.end()) {
        it->second.record.answer = std::move(answer);
    }
    held_.erase(held);
}

void bound_key_table::withdraw(claim_ticket ticket)
{
    const auto held = held_.find(ticket);
    if (held == held_.end()) {
        return;
    }
    const auto it = entries_.find(held->second);
    if (it != entries_.end()) {
        entries_by_time_.erase({it->second.stamp, it->first});
        entries_.erase(it);
    }
    held_.erase(held);
}

} // namespace anvillead
