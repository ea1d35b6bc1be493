#include "membership/pull_planner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace anvillead {

namespace {

// Maximum of the exponential backoff between checks of seeds that are not members. The first checks are close together,
// because the hosts of a fleet that start at the same time may join in groups that do not know each other.
constexpr milliseconds max_seed_check_interval{30000};
// After a pause, a process that reaches no peer serves its own table again after this time.
constexpr milliseconds max_stale_time{10000};

bool is_live_address(const member_table& table, const std::string& link_address)
{
    return std::any_of(table.entries().begin(), table.entries().end(), [&](const auto& it) {
        return it.second.record.addresses.agent_link == link_address && it.second.record.state != member_state::dead;
    });
}

} // namespace

void pull_planner::set_seeds(std::vector<std::string> addresses)
{
    if (addresses != seeds_) {
        seeds_ = std::move(addresses);
        next_seed_check_ = {};
        seed_check_interval_ = period_;
    }
}

std::string pull_planner::find_non_member_seed(const member_table& table, std::mt19937_64& random) const
{
    std::vector<std::string> unknown;
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(unknown),
                 [&](const std::string& it) { return !is_live_address(table, it); });
    return unknown.empty() ? std::string() : unknown[random() % unknown.size()];
}

void pull_planner::mark_stale(instant now)
{
    stale_ = true;
    stale_since_ = now;
    next_pull_ = now;
}

void pull_planner::request_repair(const std::string& address)
{
    if (repair_address_.empty()) {
        repair_address_ = address;
    }
}

bool pull_planner::on_state_received(bool has_peers)
{
    stale_ = false;
    return has_peers && !std::exchange(joined_, true);
}

std::string pull_planner::next_address(instant now, const member_table& table, const host_id& self,
                                       std::mt19937_64& random)
{
    if (stale_ && now - stale_since_ > max_stale_time) {
        stale_ = false;
    }
    if (now < next_pull_) {
        return {};
    }
    auto address = choose_address(now, table, self, random);
    if (address == table.find(self)->addresses.agent_link) {
        address.clear();
    }
    if (!address.empty()) {
        next_pull_ = now + period_;
    }
    return address;
}

std::string pull_planner::choose_address(instant now, const member_table& table, const host_id& self,
                                         std::mt19937_64& random)
{
    if (!repair_address_.empty() && !stale_) {
        return std::exchange(repair_address_, {});
    }
    if ((!joined_ || now >= next_seed_check_) && !seeds_.empty()) {
        next_seed_check_ = now + seed_check_interval_;
        seed_check_interval_ = joined_ ? std::min(2 * seed_check_interval_, max_seed_check_interval) : period_;
        auto seed = find_non_member_seed(table, random);
        if (!seed.empty()) {
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
