#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "standins/common/standin_options.h"
#include "standins/engine_model/engine_model.h"
#include "streams/types/stream_event.h"
#include "transport/ihttp_server.h"

namespace standin {

/// Stand-in for a model engine: a subset of the Responses API on top of engine_model, with delayed load reports,
/// prefix cache events, orders with a fencing number, and configurable faults.
class engine_server
{
public:
    engine_server(anvillead::worker_pool& pool, const standin_options& options);

    std::string address() const { return server_->address(); }

private:
    struct generation
    {
        std::string tag;
        std::vector<anvillead::stream_event> events;
        std::vector<std::shared_ptr<anvillead::ihttp_exchange>> followers;
        std::int64_t output_target = 0;
        std::int64_t produced = 0;
        anvillead::instant ended_at{};
        bool ended = false;
    };

    struct load_sample
    {
        anvillead::instant at;
        nlohmann::json value;
    };

    struct timed_prefix_change
    {
        anvillead::instant at;
        prefix_change change;
    };

    void handle(anvillead::http_request request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void create(const anvillead::http_request& request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void follow(const anvillead::http_request& request, const std::string& id,
                const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void cancel(const std::string& id, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void handle_order(const anvillead::http_request& request,
                      const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void control(const nlohmann::json& value);
    nlohmann::json load() const;
    nlohmann::json recent_cache_changes() const;
    void record_cache_changes(const engine_step& result);
    void schedule_step();
    void step();
    void emit(const std::string& id, generation& value, const std::string& type, const nlohmann::json& data);
    void emit_final(const std::string& id, generation& value, const std::string& type, const std::string& status);
    /// Stops the open event streams: aborts their connections, or keeps them open without data like a half-open
    /// connection.
    void drop_followers(bool abort);
    void remove_expired();

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    engine_model model_;
    std::map<std::string, generation> generations_;
    /// All generations started so far; tests compare it with requests reported as `not_run`.
    nlohmann::json started_ = nlohmann::json::array();
    std::vector<std::shared_ptr<anvillead::ihttp_exchange>> silenced_followers_;
    std::deque<load_sample> load_samples_;
    std::deque<timed_prefix_change> cache_changes_;
    nlohmann::json cache_events_ = nlohmann::json::array();
    nlohmann::json orders_ = nlohmann::json::array();
    std::unique_ptr<anvillead::ihttp_server> server_;
    anvillead::milliseconds load_lag_{100};
    std::int64_t default_output_tokens_ = 32;
    std::int64_t last_fencing_number_ = 0;
    std::size_t padding_bytes_ = 0;
    bool log_ran_ = false;
    bool check_fencing_ = true;
    bool leaving_ = false;
    /// Accepts new work while leaving, so that a test can detect work that should not have been sent.
    bool serves_while_leaving_ = false;
    bool stalled_ = false;
    bool refuse_requests_ = false;
    /// A resumed stream starts with the first event, whatever `starting_after` says.
    bool replay_all_events_ = false;
    bool step_scheduled_ = false;
};

} // namespace standin
