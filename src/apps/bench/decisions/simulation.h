#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "admission/ischeduler_core.h"
#include "apps/bench/decisions/measurements.h"
#include "apps/bench/decisions/scenario.h"
#include "standins/engine_model/engine_model.h"

namespace anvillead::bench {

/// Runs one policy on one scenario in virtual time: engine models, seven gateways that dispatch grants and report
/// progress, load reports that are delayed or lost.
class simulation
{
public:
    simulation(const scenario& value, ischeduler_core& policy);
    run_statistics run();

private:
    struct event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct fires_later
    {
        bool operator()(const event& a, const event& b) const { return a.at != b.at ? a.at > b.at : a.order > b.order; }
    };

    struct engine
    {
        explicit engine(standin::engine_model_settings settings) : model(settings) {}

        standin::engine_model model;
        bool stepping = false;
        bool dead = false;
        bool leaving = false;
        /// Cache events that are not reported yet, with the times at which they occurred.
        std::vector<std::pair<double, cache_event>> cache_events;
    };

    enum class request_state
    {
        waiting,
        running,
        finished,
        refused,
        lost
    };

    struct request
    {
        request_state state = request_state::waiting;
        grant_id grant;
        std::size_t engine = 0;
        std::int64_t produced = 0;
        int preemptions = 0;
        bool was_reported = false;
        /// Time of the last delivery to the caller, or of its arrival.
        double last_delivery_ms = 0;
        double dispatched_ms = 0;
        double longest_stall_ms = 0;
        std::vector<upstream_id> excluded;
    };

    void schedule(double ms, std::function<void()> action);
    instant now() const;
    gateway_identity gateway_of(std::size_t index) const;
    void on_arrival(std::size_t index);
    void send_request(std::size_t index);
    void execute_actions(const scheduler_actions& actions);
    void dispatch(std::size_t index, const grant& value);
    void step(std::size_t index);
    void finish_step(std::size_t index, const standin::engine_step& done);
    void deliver_token(std::size_t index);
    void record_delivery(std::size_t index, double ms);
    void on_request_lost(std::size_t index);
    void apply_fault(const engine_fault& fault);
    grant_progress progress_of(std::size_t index) const;
    void send_report(std::size_t gateway, progress_report report);
    void finish(std::size_t index);
    void report_progress(std::size_t gateway);
    void report_load(std::size_t index);
    void record_cache_events(std::size_t index, const standin::engine_step& done);
    /// Removes and returns the cache events that are due for a report.
    std::vector<cache_event> due_cache_events(std::size_t index);
    void tick();
    void collect_statistics();

    const scenario& scenario_;
    ischeduler_core& policy_;
    std::mt19937_64 random_;
    std::mt19937_64 cache_random_;
    std::priority_queue<event, std::vector<event>, fires_later> events_;
    std::uint64_t order_ = 0;
    double clock_ = 0;
    std::vector<engine> engines_;
    std::vector<request> requests_;
    std::vector<std::vector<std::size_t>> open_requests_;
    /// Time at which each gateway next reports all its grants.
    std::vector<double> next_full_report_;
    run_statistics statistics_;
};

} // namespace anvillead::bench
