#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "claims/claim_bucket.h"
#include "claims/types/claim_action.h"
#include "claims/types/claim_limits.h"
#include "object_store/types/object.h"

namespace anvillead {

/// Both clocks at one moment: key ages use the wall clock, everything else the monotonic one.
struct claim_time
{
    instant now;
    wall_time wall;
};

/// Decides how claims reach the platform. Sans-I/O: each input returns the actions to carry out in order.
///
/// Operations on one claim object are collected for a group window and share one conditional write. A conflict leads to
/// a read and a merge. After a lost answer the object is read and each claim looks for its own nonce; while the object
/// still has the version that the lost write expected, that write can take effect later, so nothing is reported as
/// undone before another write has replaced that version.
class claim_journal
{
public:
    claim_journal(claim_limits limits, std::function<std::string()> new_nonce);

    /// `ticket` must be new in this process.
    claim_actions claim(claim_time time, claim_ticket ticket, claim_request request);
    claim_actions look_up(claim_time time, claim_ticket ticket, claim_request request);
    claim_actions complete(claim_time time, claim_ticket ticket, stored_answer answer);
    void release(claim_ticket ticket);
    claim_actions withdraw(claim_time time, claim_ticket ticket);

    /// `not_found` for an absent object, `overloaded` or `platform_unavailable` for a failed call.
    claim_actions on_read(claim_time time, const std::string& object, const result<platform_object>& answer);
    /// The new version, `conflict`, or a failure; its outcome is `may_have_run` when the write may take effect.
    claim_actions on_written(claim_time time, const std::string& object, const result<std::uint64_t>& answer);
    claim_actions on_timer(claim_time time);

    /// Number of gateways that share the platform's call rates.
    void set_gateways(std::size_t count) { gateways_ = std::max<std::size_t>(count, 1); }

    std::size_t waiting() const { return operations_.size(); }

private:
    using operation_id = std::uint64_t;

    enum class kind
    {
        claim,
        look_up,
        withdraw,
        answer
    };

    struct operation
    {
        kind what = kind::claim;
        claim_ticket ticket = 0;
        claim_request request;
        wall_time stamp;
        std::string identity;
        std::string object;
        std::string nonce;
        stored_answer answer;
        /// Position in the order of arrivals and calls; an answer of a later call is fresh for this operation.
        std::uint64_t arrived = 0;
        instant deadline{};
        /// What the write under way holds for this operation.
        std::optional<kind> in_flight;
        /// A call after the arrival showed that the key was not claimed.
        bool seen_free = false;
        /// A write with this claim may have taken effect or may do so later.
        bool uncertain = false;
        /// The final answer was given; the operation goes on in the background.
        bool answered = false;
    };

    struct bucket
    {
        std::deque<operation_id> waiting;
        std::vector<operation_id> in_flight;
        bool busy = false;
        bool known = false;
        std::uint64_t version = 0;
        claim_bucket content;
        claim_bucket proposed;
        /// Version that a write with a lost answer expected.
        std::optional<std::uint64_t> uncertain;
        /// Start of the last successful call, in the order of arrivals and calls.
        std::uint64_t fresh = 0;
        std::uint64_t call = 0;
        instant due{};
        /// Time of the last successful call's answer.
        instant fresh_at{};
        /// Another gateway writes this object too.
        bool contended = false;
        /// Waits in turns_.
        bool queued = false;
        /// May write now; the write is counted already.
        bool permitted = false;
        instant retry_at{};
    };

    /// A claim from its arrival until it is released, withdrawn or refused.
    struct held_claim
    {
        operation_id pending = 0;
        operation origin;
    };

    enum class step
    {
        finished,
        written,
        needs_read,
        deferred
    };

    result<operation> make_operation(claim_time time, kind what, claim_ticket ticket, claim_request request);
    operation_id enqueue(claim_time time, operation value, milliseconds timeout);
    void pump(claim_time time, const std::string& object, claim_actions& actions);
    void read(claim_time time, const std::string& object, bucket& target, claim_actions& actions);
    void write(const std::string& object, bucket& target, std::vector<operation_id> batch, claim_actions& actions);
    step resolve(claim_time time, operation& op, bucket& target, claim_actions& actions);
    step resolve_claim(claim_time time, operation& op, bucket& target, claim_actions& actions);
    step resolve_withdrawal(operation& op, bucket& target, claim_actions& actions);
    step resolve_answer(operation& op, bucket& target);
    void confirm(claim_time time, operation_id id, bucket& target, claim_actions& actions);
    void accept(operation& op, claim_actions& actions);
    void refuse(const operation& op, error reason, claim_actions& actions);
    void finish_withdrawal(const operation& op, result<void> answer, claim_actions& actions);
    void failed_call(claim_time time, const std::string& object, bucket& target, claim_actions& actions);
    void return_batch(bucket& target);
    void give_up(claim_time time, operation_id id, claim_actions& actions);
    void set_deadline(operation_id id, operation& op, instant at);
    void erase(operation_id id);
    bool permit(claim_time time, const std::string& object, bucket& target);
    instant writes_allowed_at() const;
    instant::duration interval_of(unsigned calls_per_second) const;
    void drop_idle_buckets();
    claim_actions finish(claim_actions actions) const;

    claim_limits limits_;
    std::function<std::string()> new_nonce_;
    std::map<operation_id, operation> operations_;
    std::map<std::string, bucket> buckets_;
    std::map<claim_ticket, held_claim> held_;
    std::set<std::pair<instant, operation_id>> deadlines_;
    std::set<std::pair<instant, std::string>> wakes_;
    std::array<instant, claim_shards> shard_next_{};
    /// Time at which the bucket of write permissions is full again.
    instant writes_full_at_{};
    instant reads_full_at_{};
    /// Objects that wait for a write permission, longest wait first.
    std::deque<std::string> turns_;
    bool serving_turn_ = false;
    std::size_t gateways_ = 1;
    std::uint64_t order_ = 0;
    unsigned failures_ = 0;
};

} // namespace anvillead
