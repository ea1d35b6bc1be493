#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvillead {

/// Signs texts that callers carry and return, with keys derived from the fleet keys for one purpose. The first key
/// signs, any of them verifies, so that fleet keys can be rotated.
class token_signer
{
public:
    /// Tokens of one label are not valid under another.
    token_signer(const std::vector<std::string>& fleet_keys, std::string_view label);

    /// base64url of a truncated HMAC and the body.
    std::string sign(std::string_view body) const;
    /// The body of a token that `sign` made; nothing for any other text.
    std::optional<std::string> verify(std::string_view token) const;

    /// base64url of the truncated HMAC alone, for data that travels beside it.
    std::string mark(std::string_view data) const;
    bool is_mark(std::string_view mark, std::string_view data) const;

private:
    bool is_proof(std::string_view proof, std::string_view data) const;

    std::vector<std::string> keys_;
};

} // namespace anvillead
