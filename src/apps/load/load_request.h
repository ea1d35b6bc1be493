#pragma once

#include <memory>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "apps/load/load_options.h"
#include "apps/load/load_report.h"
#include "streams/sse.h"
#include "streams/types/stream_event.h"
#include "transport/ihttp_client.h"

namespace anvillead {

/// Objects shared by all requests of a run.
struct load_context
{
    const load_options& options;
    worker_pool& pool;
    ihttp_client& client;
    load_report& report;
    /// Returns the gateway address for the given attempt, from the latest answer of /v1/endpoints.
    std::function<std::string(int attempt)> address;
    std::function<void()> finished;
    /// Start time of the run.
    instant started{};
};

/// Arrival time and properties of one request.
struct planned_request
{
    milliseconds at{0};
    std::size_t workload = 0;
    std::size_t organisation = 0;
    std::int64_t tokens = 1;
    std::uint64_t number = 0;
};

/// Sends one request and follows it to its last event, with retries and resumptions. Runs on its own sequence.
class load_request : public std::enable_shared_from_this<load_request>
{
public:
    load_request(load_context& context, const planned_request& plan);

    void start();

private:
    void attempt();
    void handle_event(const std::string& type, const std::string& id, const std::string& data);
    void handle_end(const http_call_result& end);
    void cancel_attempt();
    void handle_refusal(const nlohmann::json& reason);
    void schedule_retry(milliseconds delay);
    void finish(const std::string& what);
    http_call_request make_call() const;

    load_context& context_;
    planned_request plan_;
    const load_workload& workload_;
    std::shared_ptr<isequence> sequence_;
    std::shared_ptr<ihttp_call> call_;
    std::unique_ptr<sse_parser> parser_;
    std::string key_;
    std::string response_id_;
    std::string body_;
    instant started_{};
    instant last_token_{};
    double longest_stall_ms_ = 0;
    double first_token_ms_ = -1;
    std::int64_t last_number_ = -1;
    std::int64_t tokens_ = 0;
    milliseconds retry_after_{0};
    int attempts_ = 0;
    int status_ = 0;
    /// The next attempt is scheduled but not started.
    bool retry_pending_ = false;
    bool done_ = false;
};

} // namespace anvillead
