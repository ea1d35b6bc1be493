#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/types/member.h"
#include "membership/types/upstream_leave_status.h"

namespace anvillead {

/// Send an authenticated datagram.
struct send_datagram
{
    std::string address;
    std::string payload;
    /// Wire name of the message; used in metrics.
    std::string_view kind;
};

/// Pull state over a link: the member table, or the configuration when the peer has a newer one.
struct pull_state
{
    /// Link address of the peer.
    std::string address;
    bool members = false;
};

/// The effective state of a member changed, or the member has a new incarnation; logged by the owner.
struct member_changed
{
    member value;
    member_state previous_state = member_state::alive;
    bool is_new = false;
};

/// The leaving status of an upstream changed; logged by the owner.
struct upstream_status_changed
{
    upstream_leave_status value;
};

using membership_action = std::variant<send_datagram, pull_state, member_changed, upstream_status_changed>;
using membership_actions = std::vector<membership_action>;

} // namespace anvillead
