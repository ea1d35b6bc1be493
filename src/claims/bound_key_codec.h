#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/token_signer.h"
#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// The only process that may dispatch requests whose keys carry its prefix.
struct bound_key_owner
{
    host_id host;
    incarnation number = 0;

    friend bool operator==(const bound_key_owner& a, const bound_key_owner& b)
    {
        return a.host == b.host && a.number == b.number;
    }
};

/// Issues and verifies bound key prefixes and the value that marks a request as forwarded by a gateway. Both are
/// authenticated with HMAC under keys derived from the fleet keys.
class bound_key_codec
{
public:
    /// Signs with the first key and accepts signatures of any of them, so that keys can be rotated.
    explicit bound_key_codec(const std::vector<std::string>& fleet_keys);

    /// "bk_" + base64url of HMAC, host and incarnation. Contains no '.', because that character separates the prefix
    /// from the UUIDv7.
    std::string prefix_for(const bound_key_owner& owner) const;
    /// Returns `invalid_request` for a prefix that this fleet did not issue.
    result<bound_key_owner> owner_of(std::string_view prefix) const;

    /// Returns the header value that marks a request with this idempotency key as forwarded by a gateway.
    std::string forwarding_signature(std::string_view key) const;
    bool is_forwarding_signature(std::string_view mark, std::string_view key) const;

private:
    token_signer prefixes_;
    token_signer forwarding_;
};

} // namespace anvillead
