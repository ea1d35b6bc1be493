#pragma once

#include <string>
#include <variant>
#include <vector>

#include "messages/types/messages.h"

namespace anvillead {

/// Identity of a gateway, authenticated in the handshake of its link.
using gateway_identity = strong_id<struct gateway_identity_tag>;

struct send_grant
{
    gateway_identity gateway;
    grant value;
};

struct send_refusal
{
    gateway_identity gateway;
    refusal value;
};

using scheduler_action = std::variant<send_grant, send_refusal>;
using scheduler_actions = std::vector<scheduler_action>;

} // namespace anvillead
