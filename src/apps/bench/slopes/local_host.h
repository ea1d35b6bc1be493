#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "apps/gateway/gateway_daemon.h"
#include "apps/scheduler/scheduler_daemon.h"
#include "transport/ihttp_client.h"

namespace anvillead {

/// Runs the gateway and the scheduler of one host in this process, each with its own worker pool, together with an
/// agent that only publishes a fixed view and an engine that streams tokens at a fixed interval.
class local_host
{
public:
    local_host();
    ~local_host();
    local_host(const local_host&) = delete;
    local_host& operator=(const local_host&) = delete;

    /// Opens `count` streams of `tokens` tokens each at the gateway, or directly at the engine, and waits until all are
    /// complete. Returns the number of tokens received.
    std::int64_t run_streams(int count, int tokens, bool direct);
    /// Opens streams to which the engine sends only one token, and keeps them open until close_streams().
    void open_idle_streams(int count, bool direct);
    void close_streams();

    microseconds gateway_processor() const { return gateway_pool_.cpu_time(); }
    microseconds scheduler_processor() const { return scheduler_pool_.cpu_time(); }

private:
    struct open_stream
    {
        std::shared_ptr<ihttp_call> call;
        std::atomic<std::int64_t> tokens{0};
        std::atomic<bool> started{false};
        std::atomic<bool> ended{false};
    };

    void serve_engine(const http_request& request, const std::shared_ptr<ihttp_exchange>& exchange);
    void send_tokens(const std::shared_ptr<ihttp_exchange>& exchange, int sent, int total);
    void publish(const link_ptr& link);
    void wait_until_ready();
    std::shared_ptr<open_stream> open(int tokens, bool direct);
    bool wait_until(const std::function<bool()>& condition);

    worker_pool support_pool_{2};
    worker_pool client_pool_{2};
    worker_pool gateway_pool_{2};
    worker_pool scheduler_pool_{1};
    metrics counters_;
    accepted_configuration accepted_;
    ranked_mutex mutex_{lock_rank::members};
    member self_;
    std::vector<link_ptr> links_;
    std::unique_ptr<ihttp_server> engine_;
    std::unique_ptr<ilink_server> agent_;
    std::unique_ptr<gateway_daemon> gateway_;
    std::unique_ptr<scheduler_daemon> scheduler_;
    std::unique_ptr<ihttp_client> client_;
    std::vector<std::shared_ptr<open_stream>> idle_streams_;
    std::vector<std::thread> threads_;
};

} // namespace anvillead
