#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvillead {

/// Signs tokens that callers store and send back, with keys derived from the fleet keys for one purpose. The first key
/// signs and any key verifies, so that fleet keys can be rotated.
class token_signer
{
public:
    /// `label` separates purposes: a token signed under one label is not valid under another.
    token_signer(const std::vector<std::string>& fleet_keys, std::string_view label);

    /// Returns the base64url encoding of a truncated HMAC followed by the body.
    std::string sign(std::string_view body) const;
    /// Returns the body of a token made by `sign`, or nothing for any other text.
    std::optional<std::string> verify(std::string_view token) const;

    /// Returns the base64url encoding of the truncated HMAC alone, for data that is sent separately.
    std::string mark(std::string_view data) const;
    bool verify_detached(std::string_view mark, std::string_view data) const;

private:
    bool is_valid_mac(std::string_view mac, std::string_view data) const;

    std::vector<std::string> keys_;
};

} // namespace anvillead
