#pragma once

#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/types/units.h"

namespace anvillead {

/// Limits of the registry of idempotent requests.
struct registry_limits
{
    /// About 20 MB at 400 bytes per entry.
    std::size_t entries = 50'000;
    milliseconds age{60 * 60 * 1000};
    /// Maximum age of a pending_response_id entry; its gateway renews it every second.
    milliseconds max_pending_age{3000};
};

/// Placeholder for the response id of a request that waits for an engine. A repetition of the request that finds it
/// waits as well instead of starting a second run.
inline constexpr std::string_view pending_response_id = "pending";

/// Maps the key hashes of idempotent requests to response ids. The oldest entries are evicted first; an evicted entry
/// can lead to a second run, which is permitted for idempotent requests. Sans-I/O, not thread-safe.
class request_registry
{
public:
    explicit request_registry(registry_limits limits) : limits_(limits) {}

    /// Replaces an earlier response id of the key, because a retry on another engine replaces the generation.
    void put(instant now, const std::string& key_hash, std::string response_id);
    std::optional<std::string> find(instant now, const std::string& key_hash);
    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::string key_hash;
        std::string response_id;
        instant added;
    };

    void evict_old(instant now);

    registry_limits limits_;
    /// Oldest first.
    std::list<entry> entries_;
    std::unordered_map<std::string, std::list<entry>::iterator> by_key_;
};

} // namespace anvillead
