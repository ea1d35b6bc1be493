#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "core/token_signer.h"
#include "core/types/ids.h"

namespace anvillead {

/// Where a generation runs and whose it is. Carried inside the response id, so that any gateway can find the stream.
struct response_location
{
    organisation_id organisation;
    upstream_id engine;
    generation_id generation;
};

/// Encodes and checks response ids: "resp_" + base64url of the location + HMAC.
class response_id_codec
{
public:
    /// Keys are derived from the fleet keys; the first signs, any of them verifies.
    explicit response_id_codec(const std::vector<std::string>& fleet_keys);

    std::string encode(const response_location& location) const;
    /// `not_found` for an id that this fleet did not issue.
    result<response_location> decode(std::string_view id) const;

private:
    token_signer signer_;
};

} // namespace anvillead
