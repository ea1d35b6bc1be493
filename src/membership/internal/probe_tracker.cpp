#include "membership/probe_tracker.h"

namespace anvillead {

namespace {

constexpr std::size_t relay_limit = 256;

} // namespace

void probe_tracker::start(std::uint64_t number, const host_id& target, instant deadline)
{
    pending_[number] = {target, deadline, false};
}

bool probe_tracker::start_relay(std::uint64_t number, relay value)
{
    if (relays_.size() >= relay_limit) {
        return false;
    }
    relays_[number] = std::move(value);
    return true;
}

std::optional<probe_tracker::relay> probe_tracker::acknowledge(std::uint64_t number, const host_id& from)
{
    const auto relayed = relays_.find(number);
    if (relayed != relays_.end()) {
        auto out = std::move(relayed->second);
        relays_.erase(relayed);
        return out;
    }
    const auto it = pending_.find(number);
    if (it != pending_.end() && it->second.target == from) {
        pending_.erase(it);
    }
    return std::nullopt;
}

probe_tracker::expired probe_tracker::expire(instant now, milliseconds indirect_timeout)
{
    expired out;
    for (auto it = pending_.begin(); it != pending_.end();) {
        if (now < it->second.deadline) {
            ++it;
        } else if (it->second.indirect) {
            out.suspected.push_back(it->second.target);
            it = pending_.erase(it);
        } else {
            it->second.indirect = true;
            it->second.deadline = now + indirect_timeout;
            out.unanswered.emplace_back(it->first, it->second.target);
            ++it;
        }
    }
    for (auto it = relays_.begin(); it != relays_.end();) {
        it = now >= it->second.deadline ? relays_.erase(it) : std::next(it);
    }
    return out;
}

void probe_tracker::clear()
{
    pending_.clear();
    relays_.clear();
}

} // namespace anvillead
