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

/// What every request of a run uses.
struct load_context
{
    const load_options& options;
    worker_pool& pool;
    ihttp_client& client;
    load_report& report;
    /// Address for the given attempt, following /v1/endpoints.
    std::function<std::string(int attempt)> address;
    std::function<void()> finished;
    /// Start of the run.
    instant started{};
};

/// One planned request.
struct load_arrival
{
    milliseconds at{0};
    std::size_t workload = 0;
    std::size_t organisation = 0;
    std::int64_t tokens = 1;
    std::uint64_t number = 0;
};

/// One request from its arrival to its last event, with retries and resumptions. Runs on its own sequence.
class load_request : public std::enable_shared_from_this<load_request>
{
public:
    load_request(load_context& context, const load_arrival& arrival);

    void start();

private:
    void attempt();
    void event(const std::string& type, const std::string& id, const std::string& data);
    void ended(const http_call_end& end);
    void give_up_attempt();
    void refused(const nlohmann::json& reason);
    void again(milliseconds delay);
    void finish(const std::string& what);
    http_call_request make_call() const;

    load_context& context_;
    load_arrival arrival_;
    const load_workload& workload_;
    std::shared_ptr<isequence> sequence_;
    std::shared_ptr<ihttp_call> call_;
    std::unique_ptr<sse_parser> parser_;
    std::string key_;
    std::string response_id_;
    std::string body_;
    instant arrived_{};
    instant last_token_{};
    double longest_stall_ms_ = 0;
    double first_token_ms_ = -1;
    std::int64_t last_number_ = -1;
    std::int64_t tokens_ = 0;
    milliseconds retry_after_{0};
    int attempts_ = 0;
    int status_ = 0;
    /// Between two attempts.
    bool waiting_ = false;
    bool done_ = false;
};

} // namespace anvillead
