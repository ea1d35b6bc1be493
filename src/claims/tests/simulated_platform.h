#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "claims/claim_journal.h"

namespace anvillead {

/// Probabilities of faults in one simulated platform call.
struct platform_faults
{
    /// The call fails and has no effect.
    double refused = 0;
    /// The write takes effect but is reported as failed, possibly before it takes effect.
    double lost_answer = 0;
    /// The write never takes effect and is reported in the same way as lost_answer.
    double lost_request = 0;
    /// Fraction of time during which every call fails.
    double outage = 0;
};

/// Discrete-event simulation of one object store that several journals call.
class simulated_platform
{
public:
    explicit simulated_platform(unsigned seed, platform_faults faults = {}) : random(seed), faults_(faults) {}

    void at(instant when, std::function<void()> task) { events_.emplace(when, std::move(task)); }
    void after(milliseconds delay, std::function<void()> task) { at(now + delay, std::move(task)); }
    void run(instant until);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random) < probability; }
    milliseconds between(int low, int high) { return milliseconds(std::uniform_int_distribution<>(low, high)(random)); }

    void read(const std::string& name, std::function<void(result<platform_object>)> callback);
    void write(const write_claim_object& call, std::function<void(result<std::uint64_t>)> callback);

    instant now{};
    std::mt19937 random;
    std::map<std::string, platform_object> objects;
    int reads = 0;
    int writes = 0;
    int conflicts = 0;

private:
    bool in_outage();
    result<std::uint64_t> apply(const write_claim_object& call);

    platform_faults faults_;
    std::multimap<instant, std::function<void()>> events_;
    std::uint64_t revision_ = 0;
};

/// A simulated gateway with a journal, a clock error and pauses.
class simulated_gateway
{
public:
    simulated_gateway(simulated_platform& platform, claim_limits limits, milliseconds clock_error);

    /// Processes inputs in order, immediately or at the end of a pause.
    void deliver(std::function<claim_actions(claim_time)> input);
    void pause(milliseconds duration) { paused_until_ = platform_.now + duration; }

    claim_journal journal;
    std::function<void(const answer_claim&)> on_claim;
    std::function<void(const answer_withdrawal&)> on_withdrawal;

private:
    void process_inputs();
    void execute_actions(const claim_actions& actions);

    simulated_platform& platform_;
    milliseconds clock_error_;
    instant paused_until_{};
    instant timer_at_{};
    std::deque<std::function<claim_actions(claim_time)>> inputs_;
};

} // namespace anvillead
