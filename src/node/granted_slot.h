#pragma once

#include <optional>

#include "node/node_context.h"

namespace anvillead {

/// The slot of an upstream that one request has, where the fleet counts the slots of that upstream. Must be released
/// when the upstream has answered or the request has ended.
class granted_slot
{
public:
    explicit granted_slot(node_context& context) : context_(context) {}
    granted_slot(const granted_slot&) = delete;
    granted_slot& operator=(const granted_slot&) = delete;

    /// A request to `upstream` has been granted.
    void take(const upstream_id& upstream);
    /// `refused`: the upstream turned the request away.
    void release(bool refused);

private:
    node_context& context_;
    std::optional<upstream_id> upstream_;
};

} // namespace anvillead
