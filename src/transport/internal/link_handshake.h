#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/ranked_mutex.h"
#include "core/types/units.h"

namespace anvillead {

/// Values of the handshake headers that prove that a process knows a fleet key.
struct link_proof
{
    std::string identity;
    std::string nonce;
    /// Time of creation in milliseconds since the Unix epoch.
    std::string time;
    std::string proof;
};

link_proof make_link_proof(const std::string& key, const std::string& identity, wall_time now);

/// Verifies proofs. Keeps each accepted nonce until its time stamp has expired, to reject replays.
class link_proof_verifier
{
public:
    explicit link_proof_verifier(std::vector<std::string> keys) : keys_(std::move(keys)) {}

    bool verify(const link_proof& proof, wall_time now);

private:
    ranked_mutex mutex_{lock_rank::transport};
    std::vector<std::string> keys_;
    std::map<std::string, wall_time> nonces_;
};

} // namespace anvillead
