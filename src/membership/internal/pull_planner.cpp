#include "membership/pull_planner.h"

#include <algorithm>
#include <utility>

namespace anvillead {

namespace {

constexpr milliseconds seed_check_period{30000};
// A paused process that finds no peer serves its table again after this time.
constexpr milliseconds stale_limit{10000};

bool is_live_address(const member_table& table, const std::string& link_address)
{
    return std::any_of(table.entries().begin(), table.entries().end(), [&](const auto& it) {
        return it.second.record.addresses.agent_link == link_address && it.second.record.state != member_state::dead;
    });
}

} // namespace

void pull_planner::mark_stale(instant now)
{
    stale_ = true;
    stale_since_ = now;
    next_pull_ = now;
}

void pull_planner::ask_repair(const std::string& address)
{
    if (repair_address_.empty()) {
        repair_address_ = address;
    }
}

bool pull_planner::arrived(bool has_peers)
{
    stale_ = false;
    return has_peers && !std::exchange(joined_, true);
}

std::string pull_planner::next(instant now, const member_table& table, const host_id& self, std::mt19937_64& random)
{
    if (stale_ && now - stale_since_ > stale_limit) {
        stale_ = false;
    }
    if (now < next_pull_) {
        return {};
    }
    auto address = choose(now, table, self, random);
    if (address == table.find(self)->addresses.agent_link) {
        address.clear();
    }
    if (!address.empty()) {
        next_pull_ = now + period_;
    }
    return address;
}

std::string pull_planner::choose(instant now, const member_table& table, const host_id& self, std::mt19937_64& random)
{
    if (!repair_address_.empty() && !stale_) {
        return std::exchange(repair_address_, {});
    }
    if ((!joined_ || now >= next_seed_check_) && !seeds_.empty()) {
        next_seed_check_ = now + seed_check_period;
        const auto& seed = seeds_[random() % seeds_.size()];
        if (!joined_ || !is_live_address(table, seed)) {
            return seed;
        }
    }
    if (joined_ && !stale_) {
        return {};
    }
    std::vector<std::string> peers;
    for (const auto& [host, it] : table.entries()) {
        if (host != self && it.record.state != member_state::dead) {
            peers.push_back(it.record.addresses.agent_link);
        }
    }
    return peers.empty() ? std::string() : peers[random() % peers.size()];
}

} // namespace anvillead
