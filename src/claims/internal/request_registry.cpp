#include "claims/request_registry.h"

namespace anvillead {

void request_registry::put(instant now, const std::string& key_hash, std::string response_id)
{
    const auto it = by_key_.find(key_hash);
    if (it != by_key_.end()) {
        entries_.erase(it->second);
        by_key_.erase(it);
    }
    entries_.push_back({key_hash, std::move(response_id), now});
    by_key_[key_hash] = std::prev(entries_.end());
    evict_old(now);
}

std::optional<std::string> request_registry::find(instant now, const std::string& key_hash)
{
    evict_old(now);
    const auto it = by_key_.find(key_hash);
    if (it == by_key_.end()) {
        return std::nullopt;
    }
    const auto& found = *it->second;
    if (found.response_id == pending_response_id && found.added + limits_.max_pending_age < now) {
        return std::nullopt;
    }
    return found.response_id;
}

void request_registry::evict_old(instant now)
{
    while (!entries_.empty() && (entries_.size() > limits_.entries || entries_.front().added + limits_.age < now)) {
        by_key_.erase(entries_.front().key_hash);
        entries_.pop_front();
    }
}

} // namespace anvillead
