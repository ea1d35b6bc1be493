#include "core/token_signer.h"

#include <algorithm>

#include "core/crypto.h"

namespace anvillead {

namespace {

// A truncated HMAC keeps tokens short; 128 bits cannot be guessed.
constexpr std::size_t proof_bytes = 16;

std::string proof_for(const std::string& key, std::string_view data)
{
    return hmac_sha256(key, data).substr(0, proof_bytes);
}

} // namespace

token_signer::token_signer(const std::vector<std::string>& fleet_keys, std::string_view label)
{
    for (const auto& it : fleet_keys) {
        keys_.push_back(hmac_sha256(it, label));
    }
}

std::string token_signer::sign(std::string_view body) const
{
    return base64url_encode(proof_for(keys_.front(), body).append(body));
}

std::optional<std::string> token_signer::verify(std::string_view token) const
{
    const auto raw = base64url_decode(token);
    if (!raw || raw->size() <= proof_bytes) {
        return std::nullopt;
    }
    auto body = raw->substr(proof_bytes);
    if (!is_proof(std::string_view(*raw).substr(0, proof_bytes), body)) {
        return std::nullopt;
    }
    return body;
}

std::string token_signer::mark(std::string_view data) const
{
    return base64url_encode(proof_for(keys_.front(), data));
}

bool token_signer::is_mark(std::string_view mark, std::string_view data) const
{
    const auto raw = base64url_decode(mark);
    return raw && is_proof(*raw, data);
}

bool token_signer::is_proof(std::string_view proof, std::string_view data) const
{
    return std::any_of(keys_.begin(), keys_.end(),
                       [&](const std::string& key) { return constant_time_equal(proof, proof_for(key, data)); });
}

} // namespace anvillead
