#pragma once

#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/types/units.h"

namespace anvillead {

/// Bounds of the registry of idempotent requests.
struct registry_limits
{
    /// At about 400 bytes an entry, 20 MB.
    std::size_t entries = 50'000;
    milliseconds age{60 * 60 * 1000};
    /// Age of a pending_run entry, which its gateway renews every second.
    milliseconds pending_age{3000};
};

/// Stands for the response id of a request that waits for an engine, so that a repetition waits with it.
inline constexpr std::string_view pending_run = "pending";

/// Response ids of idempotent requests by the hash of their key. The oldest entries make room for new ones: losing an
/// entry costs a second run, which an idempotent request allows. Sans-I/O, not thread-safe.
class request_registry
{
public:
    explicit request_registry(registry_limits limits) : limits_(limits) {}

    /// The latest response id of a key wins, because a retry on another engine replaces the generation.
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

    void drop_old(instant now);

    registry_limits limits_;
    /// Oldest first.
    std::list<entry> entries_;
    std::unordered_map<std::string, std::list<entry>::iterator> by_key_;
};

} // namespace anvillead
