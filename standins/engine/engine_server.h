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

/// Stand-in for a model engine: Responses API subset over engine_model, with lagging load reports, prefix cache events,
/// orders with a fencing number, and switches for faults.
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

    struct timed_change
    {
        anvillead::instant at;
        prefix_change change;
    };

    void handle(anvillead::http_request request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void create(const anvillead::http_request& request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void follow(const anvillead::http_request& request, const std::string& id,
                const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void cancel(const std::string& id, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void order(const anvillead::http_request& request, const std::shared_ptr<anvillead::ihttp_exchange>& exchange);
    void control(const nlohmann::json& value);
    nlohmann::json load() const;
    nlohmann::json recent_cache_changes() const;
    void note_cache(const engine_step& done);
    void schedule_step();
    void step();
    void emit(const std::string& id, generation& value, const std::string& type, const nlohmann::json& data);
    void emit_final(const std::string& id, generation& value, const std::string& type, const std::string& status);
    /// Ends the open event streams: closes their connections, or leaves them open and silent as a half-open link is.
    void drop_followers(bool abort);
    void forget_old();

    anvillead::worker_pool& pool_;
    std::shared_ptr<anvillead::isequence> sequence_;
    anvillead::metrics counters_;
    engine_model model_;
    std::map<std::string, generation> generations_;
    /// Everything that was ever started, for checks of `not_run`.
    nlohmann::json ran_ = nlohmann::json::array();
    std::vector<std::shared_ptr<anvillead::ihttp_exchange>> muted_;
    std::deque<load_sample> loads_;
    std::deque<timed_change> cache_changes_;
    nlohmann::json cache_events_ = nlohmann::json::array();
    nlohmann::json orders_ = nlohmann::json::array();
    std::unique_ptr<anvillead::ihttp_server> server_;
    anvillead::milliseconds load_lag_{100};
    std::int64_t default_output_ = 32;
    std::int64_t fencing_ = 0;
    std::size_t padding_ = 0;
    bool log_ran_ = false;
    bool check_fencing_ = true;
    bool leaving_ = false;
    /// Serves new work also while leaving, so that a test sees work that should not have come.
    bool serves_while_leaving_ = false;
    bool stalled_ = false;
    bool refuse_ = false;
    /// A resumed stream begins with the first event whatever number was asked for.
    bool replays_all_ = false;
    bool step_scheduled_ = false;
};

} // namespace standin
