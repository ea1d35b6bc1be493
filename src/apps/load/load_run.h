#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

#include "apps/load/load_request.h"

namespace anvillead {

/// Arrival times and requests, fixed by the seed alone: a slow system does not slow the load down.
std::vector<load_arrival> plan_load(const load_options& options);

/// Sends the planned requests and waits for the last of them.
class load_run
{
public:
    explicit load_run(const load_options& options);

    void run();
    const load_report& report() const { return report_; }

private:
    void follow_endpoints(std::size_t source);
    std::string address(int attempt);

    const load_options& options_;
    worker_pool pool_;
    std::unique_ptr<ihttp_client> client_;
    std::shared_ptr<isequence> sequence_;
    load_report report_;
    load_context context_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> addresses_;
    std::size_t next_address_ = 0;
    std::size_t open_ = 0;
};

} // namespace anvillead
