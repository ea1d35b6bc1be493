#pragma once

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"

namespace testing {

/// What became of one request of a background load.
struct load_record
{
    question value;
    /// Final error, both empty for a whole answer.
    std::string kind;
    std::string outcome;
    /// Wrong tokens: lost, repeated, out of order, of another request or of a second generation.
    std::string wrong_tokens;
    /// Neither a whole answer nor a final error, after all resumptions.
    std::string unanswered;
    int resumptions = 0;
    /// How the first connection that ended without a final event ended.
    std::string broken;
};

/// Callers that ask one request after another from their own threads, as the callers of design.md 4.1 do: they follow
/// `/v1/endpoints`, keep its answer for its time to live and resume a broken stream at another gateway.
class background_load
{
public:
    /// Every third request is a non-idempotent appointment with a key of its own.
    background_load(cluster& target, int callers, unsigned seed);
    ~background_load() { stop(); }
    background_load(const background_load&) = delete;
    background_load& operator=(const background_load&) = delete;

    /// Lets the requests under way end and returns all records.
    std::vector<load_record> stop();
    std::size_t finished() const { return finished_; }

private:
    struct address_book
    {
        std::vector<std::string> addresses;
        clock::time_point until{};
    };

    void run(unsigned seed);
    load_record ask(address_book& book, unsigned random);
    const std::vector<std::string>& endpoints(address_book& book);

    cluster& cluster_;
    std::vector<std::string> bootstrap_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> finished_{0};
    std::mutex mutex_;
    std::vector<load_record> records_;
    std::vector<std::thread> threads_;
};

/// Problems of the records by invariant (1 to 4 of design.md 1.3), compared with what the upstreams recorded.
std::map<int, std::string> judge(const std::vector<load_record>& records, const cluster& target);
/// The problems of all invariants in one text; empty when there are none.
std::string all_problems(const std::map<int, std::string>& problems);

} // namespace testing
