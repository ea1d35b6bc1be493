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
    /// Engines of its cells that take work, as the gateway's view has them.
    int engines = 0;
    /// Its link is open.
    bool reachable = false;
};

/// Chooses the schedulers to ask for a grant, by what one gateway knows of them: its own requests that wait there and
/// its recent waits, weighted by the engines. One object per service. Sans-I/O.
class scheduler_choice
{
public:
    explicit scheduler_choice(std::uint64_t seed) : random_(seed) {}

    /// At most `count` addresses, the best first. Schedulers without an open link or an engine that takes work are left
    /// out as long as there is another. With nothing known, a random choice in proportion to the engines.
    std::vector<std::string> choose(instant now, std::vector<scheduler_candidate> candidates, std::size_t count);
    /// A request waits at the scheduler, until one of the functions below.
    void on_asked(const std::string& address);
    void on_grant(instant now, const std::string& address, milliseconds wait);
    /// `retry_after` counts as the wait that the scheduler predicts.
    void on_refusal(instant now, const std::string& address, milliseconds retry_after);
    /// The scheduler had not answered after `waited`, which is the least wait it would have given.
    void on_withdrawn(instant now, const std::string& address, milliseconds waited);
    /// Forgets schedulers that no longer own a cell.
    void keep(const std::vector<std::string>& addresses);

private:
    struct knowledge
    {
        int waiting = 0;
        double wait_ms = 0;
        instant updated{};

        double recent_wait_ms(instant now) const;
        void observe(instant now, double observed_ms);
    };

    double cost(instant now, const scheduler_candidate& value);
    void ended(const std::string& address);

    std::mt19937_64 random_;
    std::map<std::string, knowledge> known_;
};

} // namespace anvillead
