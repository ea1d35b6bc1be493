#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/ranked_mutex.h"
#include "core/types/units.h"

namespace anvillead {

/// Header values with which a process proves the fleet key.
struct link_proof
{
    std::string identity;
    std::string nonce;
    /// Milliseconds since the Unix epoch.
    std::string time;
    std::string proof;
};

link_proof make_link_proof(const std::string& key, const std::string& identity, wall_time now);

/// Checks proofs and remembers nonces for as long as their time stamp is acceptable.
class link_proof_checker
{
public:
    explicit link_proof_checker(std::vector<std::string> keys) : keys_(std::move(keys)) {}

    bool accept(const link_proof& proof, wall_time now);

private:
    ranked_mutex mutex_{lock_rank::transport};
    std::vector<std::string> keys_;
    std::map<std::string, wall_time> nonces_;
};

} // namespace anvillead
