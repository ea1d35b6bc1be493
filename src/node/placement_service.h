#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "dispatch/placement_scheduler.h"
#include "fleet/placement_codec.h"
#include "node/node_context.h"

namespace anvillead {

/// Outcome of a placement request.
struct placement_result
{
    /// The engine to use; empty when none has free capacity or no scheduler made a decision.
    std::optional<upstream_record> engine;
    /// No scheduler made a decision, so the host chooses an engine itself.
    bool unanswered = false;
    /// The scheduler that made the decision; empty when none did.
    host_id chosen_by;
    /// Of a refusal: time until the request would have had its turn, and the requests before it. Zero if unknown.
    milliseconds retry_after{0};
    std::size_t requests_before = 0;
};

/// Requests engines from the host that schedules a service, and acts as the scheduler for the services that are
/// assigned to this host.
class placement_service : public std::enable_shared_from_this<placement_service>
{
public:
    using done_hook = std::function<void(const placement_result&)>;
    using send_hook = std::function<void(const std::string& address, std::string datagram)>;

    placement_service(node_context& context, send_hook send);
    /// Sets the hook that returns the hosts that may be schedulers, which know the work of all hosts.
    void set_candidates(std::function<std::vector<host_id>()> hook) { candidates_ = std::move(hook); }
    void set_speeds(const engine_speeds* value) { scheduler_.set_speeds(value); }
    void set_rates(placement_scheduler::rate_hooks value) { scheduler_.set_rates(std::move(value)); }
    /// Called after the process started or was suspended. As a scheduler it has to learn the fleet's current work
    /// before it can place requests.
    void learn();

    /// Calls `done` exactly once: immediately when no other host needs to be asked, otherwise within the patience of
    /// the question plus a few milliseconds.
    void request_engine(placement_request question, done_hook done);
    /// The host that schedules the engines of a service; none if each host chooses by itself or it has no engines.
    std::optional<host_id> scheduler_of_engines(const service_name& service);
    /// Handles a placement datagram; returns false for any other kind.
    bool receive(const std::string& datagram);

private:
    struct pending_question
    {
        placement_request question;
        host_id scheduler;
        done_hook done;
        timer_id timer = 0;
        bool waiting = false;
    };

    std::optional<host_id> scheduler_of(const service_name& service);
    /// The host that decides about a question: the scheduler, or this host where requests are ordered by cost and no
    /// scheduler answers. Nothing if the host chooses without a queue.
    std::optional<host_id> decider_of(const service_name& service);
    void log_scheduler_change(const service_name& service, const host_id& host);
    void send_question(const pending_question& value);
    void send_answer(const host_id& asker, const placement_response& answer);
    void handle_answer(const placement_response& answer);
    void on_timeout(std::uint64_t number);
    void finish(std::uint64_t number, const placement_result& outcome);
    void schedule_queue_check();

    node_context& context_;
    send_hook send_;
    std::function<std::vector<host_id>()> candidates_;
    placement_scheduler scheduler_;
    std::map<std::uint64_t, pending_question> pending_;
    /// Scheduler of each service, for this version of the list of hosts.
    std::map<service_name, host_id> schedulers_;
    std::uint64_t schedulers_version_ = 0;
    /// The scheduler that was asked last, by service.
    std::map<service_name, host_id> last_schedulers_;
    std::uint64_t last_number_ = 0;
    /// The scheduler that did not answer; it is not asked until `silent_until_`.
    host_id silent_scheduler_;
    instant silent_until_{};
    bool queue_check_scheduled_ = false;
};

} // namespace anvillead
