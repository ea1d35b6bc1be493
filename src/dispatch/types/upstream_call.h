#pragma once

#include <optional>
#include <string>

#include "core/types/ids.h"
#include "core/types/units.h"

namespace anvillead {

/// Where the memory of a generation lies that goes on at another engine.
struct resume_point
{
    /// Text with which the engine finds the memory: made by `copy_source` of the adapter.
    std::string memory;
    /// Number of the last event that the caller has; the next one follows.
    sequence_number last_event = 0;
    /// False when no event has arrived yet.
    bool has_event = false;
};

/// What is added to a caller's request when it is sent to an upstream.
struct upstream_call
{
    /// The upstream that the request is meant for; any other one at that address refuses it.
    upstream_id expected;
    std::optional<milliseconds> deadline;
    organisation_id organisation;
    /// Urgency of a generation, 0 to 9; 0 goes first.
    std::optional<int> priority;
    std::optional<resume_point> resume;
};

/// What the head of an upstream's answer says.
struct upstream_answer
{
    int status = 0;
    /// The upstream vouches for the answer.
    bool stamped = false;
    /// The upstream did not run the request and never will.
    bool refused = false;
    /// The answer belongs to another request.
    bool foreign = false;
    /// The body is not what the upstream made, because something on the way encoded it.
    bool encoded = false;
    /// Requests that run or wait at the upstream.
    std::optional<int> load;
};

} // namespace anvillead
