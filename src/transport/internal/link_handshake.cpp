#include "transport/internal/link_handshake.h"

#include <algorithm>
#include <cstdlib>

#include "core/crypto.h"

namespace anvillead {

namespace {

// Largest accepted difference between the clocks of two hosts.
constexpr milliseconds max_clock_skew{30000};
constexpr std::size_t nonce_bytes = 16;

std::string compute_proof(const std::string& key, const link_proof& proof)
{
    return to_hex(hmac_sha256(key, "link|" + proof.identity + "|" + proof.nonce + "|" + proof.time));
}

} // namespace

link_proof make_link_proof(const std::string& key, const std::string& identity, wall_time now)
{
    const auto time = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    link_proof out{identity, random_hex(nonce_bytes), std::to_string(time), {}};
    out.proof = compute_proof(key, out);
    return out;
}

bool link_proof_verifier::verify(const link_proof& proof, wall_time now)
{
    const wall_time sent{milliseconds(std::strtoll(proof.time.c_str(), nullptr, 10))};
    if (sent > now + max_clock_skew || sent + max_clock_skew < now || proof.nonce.empty()) {
        return false;
    }
    const bool authentic = std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
        return constant_time_equal(proof.proof, compute_proof(key, proof));
    });
    if (!authentic) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    for (auto it = nonces_.begin(); it != nonces_.end();) {
        it = it->second + max_clock_skew < now ? nonces_.erase(it) : std::next(it);
    }
    return nonces_.emplace(proof.nonce, sent).second;
}

} // namespace anvillead
