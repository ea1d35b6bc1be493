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
/// progress, load reports with lag and loss.
class simulation
{
public:
    simulation(const scenario& value, ischeduler_core& policy);
    run_figures run();

private:
    struct event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct later
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
        /// Cache events not reported yet, with their times.
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
        bool listed = false;
        /// Last time at which the caller received something, or arrived.
        double heard = 0;
        double dispatched = 0;
        double longest = 0;
        std::vector<upstream_id> excluded;
    };

    void at(double ms, std::function<void()> action);
    instant now() const;
    gateway_identity gateway_of(std::size_t index) const;
    void arrive(std::size_t index);
    void ask(std::size_t index);
    void carry_out(const scheduler_actions& actions);
    void dispatch(std::size_t index, const grant& value);
    void step(std::size_t index);
    void finish_step(std::size_t index, const standin::engine_step& done);
    void token(std::size_t index);
    void hear(std::size_t index, double ms);
    void lose(std::size_t index);
    void apply(const engine_fault& fault);
    grant_progress progress_of(std::size_t index) const;
    void send_report(std::size_t gateway, progress_report report);
    void finish(std::size_t index);
    void report_progress(std::size_t gateway);
    void report_load(std::size_t index);
    void note_cache(std::size_t index, const standin::engine_step& done);
    /// Takes the cache events that are due for a report.
    std::vector<cache_event> due_cache_events(std::size_t index);
    void tick();
    void collect();

    const scenario& scenario_;
    ischeduler_core& policy_;
    std::mt19937_64 random_;
    std::mt19937_64 cache_random_;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t order_ = 0;
    double clock_ = 0;
    std::vector<engine> engines_;
    std::vector<request> requests_;
    std::vector<std::vector<std::size_t>> open_;
    /// When each gateway lists all its grants next.
    std::vector<double> next_list_;
    run_figures out_;
};

} // namespace anvillead::bench
