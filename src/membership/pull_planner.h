#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace anvillead {

/// Decides when this agent pulls a peer's member table and from which peer: once to join, after a pause, when the
/// tables differ for long, and through a seed that is not a member, so that separated groups find each other.
class pull_planner
{
public:
    explicit pull_planner(milliseconds period) : period_(period), seed_check_wait_(period) {}

    void set_seeds(std::vector<std::string> addresses);
    /// The process was paused and its table is out of date.
    void mark_stale(instant now);
    /// The table of this peer differs from ours.
    void ask_repair(const std::string& address);
    /// A table has arrived. Returns true for the first one with other members.
    bool arrived(bool has_peers);
    /// Link address to pull from now; empty for none.
    std::string next(instant now, const member_table& table, const host_id& self, std::mt19937_64& random);
    bool is_stale() const { return stale_; }
    bool has_seeds() const { return !seeds_.empty(); }
    bool has_joined() const { return joined_; }

private:
    /// A seed that is not a live member; empty when all are.
    std::string unknown_seed(const member_table& table, std::mt19937_64& random) const;
    std::string choose(instant now, const member_table& table, const host_id& self, std::mt19937_64& random);

    milliseconds period_;
    std::vector<std::string> seeds_;
    std::string repair_address_;
    instant next_pull_{};
    instant next_seed_check_{};
    milliseconds seed_check_wait_;
    instant stale_since_{};
    bool joined_ = false;
    bool stale_ = false;
};

} // namespace anvillead
