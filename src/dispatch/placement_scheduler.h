#pragma once

#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "admission/fair_share.h"
#include "admission/retry_after_estimator.h"
#include "dispatch/brief_room.h"
#include "dispatch/load_table.h"
#include "dispatch/selection.h"
#include "dispatch/types/placement.h"
#include "dispatch/types/route_table.h"
#include "dispatch/upstream_directory.h"

namespace anvillead {

/// Which of the waiting requests get free capacity first.
enum class request_order
{
    /// First in, first out.
    arrival,
    /// Most urgent first, then by arrival.
    priority,
    /// By what a delay or a refusal costs: requests that are complete within their objective, then generations that
    /// have to leave their engine, then long ones by priority, organisation and latest start. Keeps places for the
    /// first, and refuses at once what would wait too long.
    cost
};

struct scheduler_limits
{
    request_order order = request_order::priority;
    /// How long granted capacity is reserved: until the report of the host that uses it is certain to have arrived.
    milliseconds reservation_time{60};
    /// How long answers are kept, to be sent again when the same request is received again.
    milliseconds answer_retention{1000};
    /// After its start, and after a pause of the process, a scheduler grants nothing for this long, until the reports
    /// of all work have arrived: one refresh interval of the reports plus their delay.
    milliseconds warmup_time{1300};
    /// Maximum length of the queue. Further requests are refused immediately.
    std::size_t max_waiting = 2000;
    /// Fractions of an engine's memory that may be reserved. The rest absorbs answers that are longer than expected;
    /// urgent requests may use most of it, because they are short.
    double memory_share = 0.92;
    double urgent_memory_share = 0.99;
    /// Time in which a placed generation frees its memory, for the forecast before any was measured.
    milliseconds assumed_residence{8000};
    /// Part of its wait after which a request gets the next room of one engine, so that smaller ones do not pass it.
    double passing_share = 0.3;
    std::size_t max_reserved = 4;
    /// Places that an organisation beyond its share leaves for the others, while these have requests.
    std::size_t places_for_others = 2;
    /// Bound of the placed requests that are remembered as running, for the shares of organisations.
    std::size_t max_remembered = 20'000;
    /// Time that a brief request takes beside reading its prompt.
    milliseconds brief_output_time{150};
};

/// When a request would have its turn.
struct turn_forecast
{
    milliseconds wait{0};
    std::size_t requests_before = 0;
};

/// Central choice of engines for the generations of a large fleet.
///
/// 90 hosts place 60 generations per second on engines whose memory is nearly full. A placement becomes known to all
/// hosts after about 20 ms; until then, all of them would choose the same engine, and each engine with free capacity
/// would receive all waiting requests. With one scheduler, capacity is assigned once, to the most urgent request that
/// fits. Sans-I/O; not thread-safe.
class placement_scheduler
{
public:
    using answer_callback = std::function<void(const host_id& asker, const placement_response&)>;
    using profile_lookup = std::function<const service_profile*(const service_name&)>;

    /// Request rates of engines, which a grant includes. Unlimited without them.
    struct rate_hooks
    {
        /// Engines that accept no further request at present.
        std::function<std::vector<upstream_id>()> closed;
        /// Takes one request; returns false if the engine accepts none now, after which it is closed.
        std::function<bool(const upstream_id&)> take;
    };

    placement_scheduler(const upstream_directory& directory, load_table& loads, profile_lookup profiles,
                        answer_callback on_answer, scheduler_limits limits = {});

    void set_rates(rate_hooks value) { rates_ = std::move(value); }
    /// Null if all engines count as equally fast.
    void set_speeds(const engine_speeds* value) { speeds_ = value; }
    void set_order(request_order value) { limits_.order = value; }
    /// Called with the difference between the actual wait of a request and its forecast when it is granted.
    void on_forecast_checked(std::function<void(milliseconds)> hook) { on_forecast_checked_ = std::move(hook); }
    /// Starts the warm-up after the process has started or was paused, because its view of the fleet's work may be out
    /// of date.
    void learn(instant now) { warmup_until_ = now + limits_.warmup_time; }
    void ask(instant now, const host_id& asker, const placement_request& question);
    /// Grants free capacity to waiting requests and refuses those whose `patience` has expired.
    void look(instant now);
    std::size_t waiting() const { return waiting_.size(); }

private:
    // Only spreads callers over time.
    static constexpr std::uint64_t estimator_seed = 1;

    struct waiting_request
    {
        host_id asker;
        placement_request question;
        instant arrived{};
        milliseconds forecast{0};
        /// What its organisation had received for its weight when the queue was sorted last.
        double served = 0;
    };

    /// What is known of the room of one service.
    struct service_room
    {
        retry_after_estimator estimator{estimator_seed};
        brief_room brief;
        /// Memory granted since the estimator was told last.
        double granted_tokens = 0;
        /// Tokens per second that are assumed before a rate was measured.
        double assumed_rate = 0;
        /// A brief request found no room when the queue was looked through last.
        bool brief_unserved = false;
        /// Engines on which requests that have waited long get the next room.
        std::vector<upstream_id> reserved;
        /// Moving average of the memory of requests that are not brief.
        double average_tokens = 0;
    };

    /// A placed request that counts as running until then.
    struct running_request
    {
        instant until{};
        organisation_id organisation;
    };

    struct sent_answer
    {
        instant at{};
        placement_response answer;
    };

    bool grant(instant now, const host_id& asker, const placement_request& question);
    /// Whether `a` gets capacity before `b`.
    bool goes_before(const waiting_request& a, const waiting_request& b) const;
    void sort_queue();
    turn_forecast forecast(const waiting_request& value);
    /// Whether a brief request waits, so that this one gets nothing.
    bool is_held_back(const placement_request& question) const;
    /// Keeps room for a request that could not be served: from long ones if it is brief, and, when it has waited long,
    /// on one engine from all that come after it.
    void hold_back_others(instant now, const waiting_request& value);
    void refuse(instant now, const waiting_request& value);
    void enqueue(instant now, waiting_request value);
    /// Updates what is known of the room of each service with waiting or recent requests.
    void observe(instant now);
    service_room& room_of(const service_profile& service);
    selection_weights weights_for(const placement_request& question);
    void end_running(instant now);
    void answer(instant now, const host_id& asker, const placement_response& value);
    bool resend_answer(instant now, const host_id& asker, const placement_request& question);

    const upstream_directory& directory_;
    load_table& loads_;
    profile_lookup profiles_;
    answer_callback on_answer_;
    rate_hooks rates_;
    const engine_speeds* speeds_ = nullptr;
    scheduler_limits limits_;
    /// In the order in which they get capacity.
    std::vector<waiting_request> waiting_;
    fair_share shares_;
    std::map<service_name, service_room> rooms_;
    std::deque<running_request> running_;
    std::function<void(milliseconds)> on_forecast_checked_;
    std::map<std::pair<request_id, std::uint64_t>, sent_answer> answers_;
    instant warmup_until_{};
};

} // namespace anvillead
