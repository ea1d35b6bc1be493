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

/// Current time of both clocks: key ages use the wall clock, everything else the monotonic clock.
struct claim_time
{
    instant now;
    wall_time wall;
};

/// Schedules the platform calls that store claims. Sans-I/O: each input returns the actions to execute in order.
///
/// Operations on one claim object are batched for a group window and share one conditional write. A conflict leads to
/// a read and a merge. After a write without a response the object is read, and each claim looks for its own nonce.
/// While the object still has the version that this write expected, the write can take effect later, so no withdrawal
/// is confirmed before another write has replaced that version.
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

    /// `answer` is `not_found` for an absent object, `overloaded` or `platform_unavailable` for a failed call.
    claim_actions on_read(claim_time time, const std::string& object, const result<platform_object>& answer);
    /// `answer` is the new version, `conflict`, or another error; the outcome of the error is `may_have_run` when the
    /// write may have taken effect or may do so later.
    claim_actions on_written(claim_time time, const std::string& object, const result<std::uint64_t>& answer);
    claim_actions on_timer(claim_time time);

    /// Number of gateways that share the platform's call rates.
    void set_gateways(std::size_t count) { gateways_ = std::max<std::size_t>(count, 1); }

    /// Number of operations that wait or are being written.
    std::size_t pending_operations() const { return operations_.size(); }

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
        kind type = kind::claim;
        claim_ticket ticket = 0;
        claim_request request;
        wall_time stamp;
        std::string identity;
        std::string object;
        std::string nonce;
        stored_answer answer;
        /// Sequence number shared with platform calls. The content that a call with a higher number returned is recent
        /// enough to decide this operation.
        std::uint64_t arrival_order = 0;
        instant deadline{};
        /// What the write in progress contains for this operation.
        std::optional<kind> in_flight;
        /// A call that started after the arrival showed that the key was not claimed.
        bool confirmed_unclaimed = false;
        /// A write that contains this claim may have taken effect or may do so later.
        bool uncertain = false;
        /// The caller has its final answer; the operation continues in the background.
        bool answered = false;
    };

    /// Cached content, waiting operations and call state of one claim object.
    struct object_state
    {
        std::deque<operation_id> waiting;
        std::vector<operation_id> in_flight;
        bool busy = false;
        bool content_valid = false;
        std::uint64_t version = 0;
        claim_bucket content;
        claim_bucket proposed;
        /// Version that a write without a response expected.
        std::optional<std::uint64_t> uncertain_version;
        /// Sequence number of the last successful call, from which `content` comes.
        std::uint64_t content_order = 0;
        /// Sequence number of the latest call.
        std::uint64_t call_order = 0;
        /// Operations that arrive before this time join the same write.
        instant group_window_end{};
        /// Time at which the last successful call completed.
        instant content_time{};
        /// Another gateway writes this object as well.
        bool contended = false;
        /// The object is in `write_queue_`.
        bool in_write_queue = false;
        /// The object may be written now; the write is already counted in the rate limits.
        bool has_write_permit = false;
        instant retry_at{};
    };

    /// A claim from its arrival until it is completed, released, withdrawn or refused.
    struct held_claim
    {
        operation_id pending_operation = 0;
        operation origin;
    };

    /// Decision about an operation against the content of its object.
    enum class resolve_result
    {
        finished,
        to_write,
        needs_read,
        deferred
    };

    result<operation> make_operation(claim_time time, kind type, claim_ticket ticket, claim_request request);
    operation_id enqueue(claim_time time, operation value, milliseconds timeout);
    void process_waiting(claim_time time, const std::string& object, claim_actions& actions);
    void read(claim_time time, const std::string& object, object_state& target, claim_actions& actions);
    void write(const std::string& object, object_state& target, std::vector<operation_id> batch,
               claim_actions& actions);
    resolve_result resolve(claim_time time, operation& op, object_state& target, claim_actions& actions);
    resolve_result resolve_claim(claim_time time, operation& op, object_state& target, claim_actions& actions);
    resolve_result resolve_withdrawal(operation& op, object_state& target, claim_actions& actions);
    resolve_result resolve_answer(operation& op, object_state& target);
    void on_operation_written(claim_time time, operation_id id, object_state& target, claim_actions& actions);
    void accept(operation& op, claim_actions& actions);
    void refuse(const operation& op, error reason, claim_actions& actions);
    void finish_withdrawal(const operation& op, result<void> answer, claim_actions& actions);
    void handle_call_failure(claim_time time, const std::string& object, object_state& target, claim_actions& actions);
    void requeue_batch(object_state& target);
    void fail_operation(claim_time time, operation_id id, claim_actions& actions);
    void set_deadline(operation_id id, operation& op, instant at);
    void erase(operation_id id);
    bool acquire_write_permit(claim_time time, const std::string& object, object_state& target);
    instant writes_allowed_at() const;
    instant::duration call_interval(unsigned calls_per_second) const;
    void evict_idle_objects();
    claim_actions append_timer(claim_actions actions) const;

    claim_limits limits_;
    std::function<std::string()> new_nonce_;
    std::map<operation_id, operation> operations_;
    std::map<std::string, object_state> object_states_;
    std::map<claim_ticket, held_claim> held_;
    std::set<std::pair<instant, operation_id>> deadlines_;
    /// Times at which an object is processed again.
    std::set<std::pair<instant, std::string>> object_timers_;
    /// Earliest time of the next write to each shard.
    std::array<instant, claim_shards> shard_next_write_{};
    /// Time at which the token bucket of writes is full again.
    instant write_tokens_full_at_{};
    /// Time at which the token bucket of reads is full again.
    instant read_tokens_full_at_{};
    /// Objects that wait for the write rate, longest wait first.
    std::deque<std::string> write_queue_;
    bool serving_write_queue_ = false;
    std::size_t gateways_ = 1;
    /// Last sequence number given to an operation or a platform call.
    std::uint64_t last_order_ = 0;
    /// Failed platform calls since the last successful one.
    unsigned consecutive_failures_ = 0;
};

} // namespace anvillead
