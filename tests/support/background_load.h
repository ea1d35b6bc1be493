#pragma once

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"

namespace testing {

/// Result of one request of a background load.
struct request_result
{
    question value;
    /// Kind and outcome of the final error; both empty for a complete response.
    std::string kind;
    std::string outcome;
    /// Describes wrong tokens: lost, repeated, out of order, from another request or from a second generation.
    std::string token_error;
    /// Set if the request got neither a complete response nor a final error after all resumptions; says what is
    /// missing.
    std::string unanswered;
    int resumptions = 0;
    /// How the first connection that ended without a final event ended.
    std::string broken;
};

/// Clients that send one request after another, each from its own thread, as callers in design.md 4.1 do: they use the
/// gateways from `/v1/endpoints`, cache that list for its time to live and resume a broken stream at another gateway.
class background_load
{
public:
    /// Every third request is a non-idempotent appointment with a key of its own.
    background_load(cluster& target, int callers, unsigned seed);
    ~background_load() { stop(); }
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    /// Waits for the requests in progress and returns all records.
    std::vector<request_result> stop();
    std::size_t finished() const { return finished_; }

private:
    struct endpoint_cache
    {
        std::vector<std::string> addresses;
        clock::time_point until{};
    };

    void run(unsigned seed);
    request_result ask(endpoint_cache& cache, unsigned random);
    const std::vector<std::string>& endpoints(endpoint_cache& cache);

    cluster& cluster_;
    std::vector<std::string> bootstrap_addresses_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> finished_{0};
    std::mutex mutex_;
    std::vector<request_result> records_;
    std::vector<std::thread> threads_;
};

/// Checks the records against the runs that the upstreams recorded. Returns the violations by invariant (1 to 4 of
/// design.md 1.3).
std::map<int, std::string> judge(const std::vector<request_result>& records, const cluster& target);
/// Returns the violations of all invariants as one text; empty if there are none.
std::string format_violations(const std::map<int, std::string>& problems);

} // namespace testing
