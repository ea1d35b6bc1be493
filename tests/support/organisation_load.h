#pragma once

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"

namespace testing {

/// Clients of one organisation that send one draft request after another, each to the next gateway.
class organisation_load
{
public:
    /// Counts since the start or the last call of reset_counts().
    struct counts
    {
        int whole = 0;
        /// Tokens of complete responses.
        int tokens = 0;
        /// Total time of complete responses, from the request to the final event.
        milliseconds answer_time{0};
        /// Refusals by error kind.
        std::map<std::string, int> refused;
        /// Refusals without a Retry-After of at least one second.
        int without_retry_after = 0;
        /// Wrong or missing responses; empty if there are none.
        std::string problems;

        double mean_answer_ms() const { return whole == 0 ? 0 : static_cast<double>(answer_time.count()) / whole; }
    };

    organisation_load(cluster& target, std::string bearer, int callers, int output_tokens);
    ~organisation_load() { stop(); }
    organisation_load(const organisation_load&) = delete;
    organisation_load& operator=(const organisation_load&) = delete;

    counts seen();
    void reset_counts();
    /// Waits for the requests in progress.
    void stop();

private:
    void run(int first_gateway);
    void record(const stream& answer, const question& value, milliseconds passed);

    cluster& cluster_;
    std::string bearer_;
    int output_tokens_;
    std::vector<std::string> gateways_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    counts counts_;
    std::vector<std::thread> threads_;
};

} // namespace testing
