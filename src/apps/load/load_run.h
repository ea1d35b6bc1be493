#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

#include "apps/load/load_request.h"

namespace anvillead {

/// Generates arrival times and requests from the seed. They do not depend on answers, so a slow system does not reduce
/// the load.
std::vector<planned_request> plan_requests(const load_options& options);

/// Sends the planned requests and waits until all have ended or the time limit of the run is reached.
class load_run
{
public:
    explicit load_run(const load_options& options);

    void run();
    const load_report& report() const { return report_; }

private:
    void poll_endpoints(std::size_t source);
    std::string address(int attempt);

    const load_options& options_;
    worker_pool pool_;
    std::unique_ptr<ihttp_client> client_;
    std::shared_ptr<isequence> sequence_;
    load_report report_;
    load_context context_;
    std::mutex mutex_;
    std::condition_variable request_finished_;
    std::vector<std::string> addresses_;
    std::size_t next_address_ = 0;
    std::size_t open_requests_ = 0;
};

} // namespace anvillead
