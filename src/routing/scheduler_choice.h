#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/types/units.h"

namespace anvillead {

/// A scheduler that a gateway may ask for a grant of one service.
struct scheduler_candidate
{
    /// Link address.
    std::string address;
    /// Engines of its cells that accept work, according to the gateway's view.
    int engines = 0;
    /// The link to it is open.
    bool reachable = false;
};

/// Chooses the schedulers that are asked for a grant. The choice depends on what this gateway has observed: its own
/// requests that wait at each scheduler and its recent waits there, relative to the number of engines. One instance per
/// service. Sans-I/O.
class scheduler_selector
{
public:
    explicit scheduler_selector(std::uint64_t seed) : random_(seed) {}

    /// Returns at most `count` addresses, lowest expected wait first. Schedulers without an open link, or without an
    /// engine that accepts work, are excluded unless all are. Without observations the choice is random, weighted by
    /// the number of engines.
    std::vector<std::string> choose(instant now, std::vector<scheduler_candidate> candidates, std::size_t count);
    /// A request was sent to the scheduler; it waits there until on_grant, on_refusal or on_withdrawn.
    void on_request_sent(const std::string& address);
    void on_grant(instant now, const std::string& address, milliseconds wait);
    /// `retry_after` is recorded as the wait.
    void on_refusal(instant now, const std::string& address, milliseconds retry_after);
    /// The request was withdrawn without an answer after `waited`, a lower bound of the wait.
    void on_withdrawn(instant now, const std::string& address, milliseconds waited);
    /// Removes the state of all schedulers but these; used when schedulers no longer own a cell.
    void keep(const std::vector<std::string>& addresses);

private:
    struct scheduler_stats
    {
        int waiting = 0;
        double wait_ms = 0;
        instant updated{};

        double recent_wait_ms(instant now) const;
        void observe(instant now, double observed_ms);
    };

    double cost(instant now, const scheduler_candidate& value);
    void remove_waiting(const std::string& address);

    std::mt19937_64 random_;
    std::map<std::string, scheduler_stats> stats_;
};

} // namespace anvillead
