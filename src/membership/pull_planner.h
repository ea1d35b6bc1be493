#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace anvillead {

/// Decides when this agent pulls the member table and from which peer: to join, after a pause of the process, when the
/// tables have differed for a long time, and from seeds that are not members, so that separated groups merge.
class pull_planner
{
public:
    explicit pull_planner(milliseconds period) : period_(period), seed_check_interval_(period) {}

    void set_seeds(std::vector<std::string> addresses);
    /// Marks the table as out of date after a pause of the process.
    void mark_stale(instant now);
    /// Requests one pull from a peer whose table differs from the local one.
    void request_repair(const std::string& address);
    /// Handles the arrival of a table. Returns true for the first one that contains other members.
    bool on_state_received(bool has_peers);
    /// Returns the link address to pull from now; empty for none.
    std::string next_address(instant now, const member_table& table, const host_id& self, std::mt19937_64& random);
    bool is_stale() const { return stale_; }
    bool has_seeds() const { return !seeds_.empty(); }
    bool has_joined() const { return joined_; }

private:
    /// Returns a random seed that is not a live member; empty if all are.
    std::string find_non_member_seed(const member_table& table, std::mt19937_64& random) const;
    std::string choose_address(instant now, const member_table& table, const host_id& self, std::mt19937_64& random);

    milliseconds period_;
    std::vector<std::string> seeds_;
    std::string repair_address_;
    instant next_pull_{};
    instant next_seed_check_{};
    milliseconds seed_check_interval_;
    instant stale_since_{};
    bool joined_ = false;
    bool stale_ = false;
};

} // namespace anvillead
