#include "membership/membership.h"

#include <algorithm>
#include <iterator>

// What membership looks up in its tables: peers, changed members and recent news of leaving.

namespace anvillead {

namespace {

// News of leaving is repeated in the answers to members whose table differs for this time. An update of the gossip
// queue is sent a bounded number of times, and all of them can be lost when one direction of a member's path is broken.
constexpr milliseconds repeat_leaving{5000};
constexpr std::size_t recent_leaving_limit = 32;

} // namespace

void membership::note_leaving(instant now, gossip_queue::key id)
{
    recent_leaving_.emplace_back(now, std::move(id));
    if (recent_leaving_.size() > recent_leaving_limit) {
        recent_leaving_.pop_front();
    }
}

std::vector<gossip_queue::key> membership::recent_leaving(instant now)
{
    while (!recent_leaving_.empty() && now - recent_leaving_.front().first > repeat_leaving) {
        recent_leaving_.pop_front();
    }
    std::vector<gossip_queue::key> out;
    out.reserve(recent_leaving_.size());
    for (const auto& [at, id] : recent_leaving_) {
        out.push_back(id);
    }
    return out;
}

std::vector<member> membership::pick_peers(std::size_t count, const host_id& except)
{
    std::vector<const member*> candidates;
    for (const auto& [host, it] : table_.entries()) {
        if (host != self_.host && host != except && it.record.state != member_state::dead) {
            candidates.push_back(&it.record);
        }
    }
    std::vector<const member*> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), count, random_);
    std::vector<member> out;
    out.reserve(picked.size());
    for (const auto* it : picked) {
        out.push_back(*it);
    }
    return out;
}

std::vector<member> membership::members_since(std::uint64_t revision) const
{
    std::vector<member> out;
    for (const auto& [host, it] : table_.entries()) {
        if (it.revision <= revision) {
            continue;
        }
        out.push_back(it.record);
        out.back().state = effective_state(it.record);
    }
    return out;
}

} // namespace anvillead
