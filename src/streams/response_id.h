#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/token_signer.h"
#include "core/types/ids.h"

namespace anvillead {

/// Organisation, engine and id of a generation. Encoded in the response id, so that any gateway can find the stream.
struct response_location
{
    organisation_id organisation;
    upstream_id engine;
    generation_id generation;
};

/// Encodes and verifies response ids: "resp_" followed by the base64url encoding of a truncated HMAC and the location.
class response_id_codec
{
public:
    /// Keys are derived from the fleet keys; the first key signs and any key verifies.
    explicit response_id_codec(const std::vector<std::string>& fleet_keys);

    std::string encode(const response_location& location) const;
    /// Returns a `not_found` error for an id that this fleet did not issue.
    result<response_location> decode(std::string_view id) const;

private:
    token_signer signer_;
};

} // namespace anvillead
